"""A limit on the memory that the buffers of all connections use together."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class BufferBudget:
    """The bytes that buffers of one kind use on all connections, and the limit on them."""

    max_bytes: int
    used_bytes: int = 0

    def is_exceeded(self) -> bool:
        """Return whether more bytes are in use than the limit."""
        return self.used_bytes > self.max_bytes

    def is_half_used(self) -> bool:
        """Return whether more than half of the limit is in use."""
        return 2 * self.used_bytes > self.max_bytes
