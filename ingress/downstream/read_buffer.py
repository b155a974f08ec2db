"""The buffer into which the event loop reads client connections."""

from __future__ import annotations

READ_BYTES = 64 * 1024  # read from a connection at once, at most
SMALL_READ_BYTES = 1024  # the same while memory is short; holds most commands


class ReadBuffer:
    """One buffer for all connections, which the event loop reads one at a time."""

    __slots__ = ("_small_view", "_view")

    def __init__(self) -> None:
        """Allocate the buffer."""
        self._view = memoryview(bytearray(READ_BYTES))
        self._small_view = self._view[:SMALL_READ_BYTES]

    def get(self, is_small: bool) -> memoryview:
        """Return the memory for the next read."""
        return self._small_view if is_small else self._view

    def copy(self, size: int) -> bytes:
        """Return the `size` bytes that were read last."""
        return bytes(self._view[:size])
