"""The end of a client connection's input, after which only what was read before is served."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator

from ingress.downstream.command_buffer import CommandBuffer

MAX_DISCARDED_BYTES = 1024 * 1024  # input that a closing connection discards before it stops reading


class InputEnd:
    """Whether the input has ended, and what becomes of the input before and behind its end.

    At the end, the buffer is searched in parts for its last valid request, and cut behind it.  Later input is
    discarded for a while, since a close over unread input resets the connection.
    """

    __slots__ = ("_search", "discarded_bytes", "is_reached")

    def __init__(self) -> None:
        """Create an end that is not reached."""
        self.is_reached = False
        self.discarded_bytes = 0
        self._search: Iterator[None] | None = None

    @property
    def is_searching(self) -> bool:
        """Whether the search goes on, during which no command may be taken from the buffer."""
        return self._search is not None

    @property
    def is_searched(self) -> bool:
        """Whether the buffer holds nothing but what is still to be served."""
        return self.is_reached and self._search is None

    def reach(self, buffer: CommandBuffer, is_valid_request: Callable[[list[bytes]], bool]) -> None:
        """Begin to search the buffer, unless the end was reached before."""
        if not self.is_reached:
            self.is_reached = True
            buffer.drop_taken_bytes()
            self._search = buffer.keep_through_last(is_valid_request)

    def search(self, end_time: float) -> None:
        """Go on with the search until `end_time` on the clock of `time.monotonic`."""
        if self._search is not None and all(time.monotonic() < end_time for _ in self._search):
            self._search = None

    def cancel(self) -> None:
        """End the search, since the buffer is not needed any more."""
        self._search = None

    def resume_discarding(self, transport: asyncio.Transport) -> None:
        """Read from the transport again, unless too much was discarded."""
        if self.discarded_bytes <= MAX_DISCARDED_BYTES:
            transport.resume_reading()

    def discard(self, size: int, transport: asyncio.Transport | None) -> None:
        """Count input that is discarded; stop reading from the transport if there is too much of it."""
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES and transport is not None:
            transport.pause_reading()
