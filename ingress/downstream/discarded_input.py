"""Input of a client connection that arrives after bytes that cannot be parsed."""

from __future__ import annotations

import asyncio

MAX_DISCARDED_BYTES = 1024 * 1024  # input that a closing connection discards before it stops reading


class DiscardedInput:
    """Reads and discards input for a while, since a close over unread input resets the connection."""

    __slots__ = ("byte_count",)

    def __init__(self) -> None:
        """Create a counter of discarded input."""
        self.byte_count = 0

    def resume_reading(self, transport: asyncio.Transport) -> None:
        """Read from the transport again, unless too much was discarded."""
        if self.byte_count <= MAX_DISCARDED_BYTES:
            transport.resume_reading()

    def discard(self, size: int, transport: asyncio.Transport | None) -> None:
        """Count input that is discarded; stop reading from the transport if there is too much of it."""
        self.byte_count += size
        if self.byte_count > MAX_DISCARDED_BYTES and transport is not None:
            transport.pause_reading()
