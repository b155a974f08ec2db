"""When the bytes of a connection's input arrived, by their position in the stream."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

RESOLUTION_S = 0.01  # reads within this time share one entry, so that single bytes do not fill the memory


@dataclass(slots=True)
class _Arrival:
    """Bytes that arrived together; the times are on the listener's clock, in seconds."""

    end_position: int
    arrived_at: float


class ArrivalTimes:
    """The arrival times of the bytes that have not been taken yet."""

    __slots__ = ("_arrivals", "_last_taken_at", "_received_bytes", "_taken_bytes")

    def __init__(self, now: float) -> None:
        """Create the times of a stream without bytes."""
        self._arrivals: deque[_Arrival] = deque()
        self._received_bytes = 0
        self._taken_bytes = 0
        self._last_taken_at = now

    def __len__(self) -> int:
        return len(self._arrivals)

    def add(self, size: int, arrived_at: float) -> None:
        """Record that the next `size` bytes arrived at `arrived_at`."""
        self._received_bytes += size
        if self._arrivals and arrived_at - self._arrivals[-1].arrived_at < RESOLUTION_S:
            self._arrivals[-1].end_position = self._received_bytes
        else:
            self._arrivals.append(_Arrival(self._received_bytes, arrived_at))

    def take(self, size: int) -> float:
        """Remove the next `size` bytes; return when the last of them arrived, or RESOLUTION_S before."""
        self._taken_bytes += size
        while self._arrivals and self._arrivals[0].end_position < self._taken_bytes:
            self._arrivals.popleft()
        if self._arrivals:
            self._last_taken_at = self._arrivals[0].arrived_at
            if self._arrivals[0].end_position == self._taken_bytes:
                self._arrivals.popleft()
        return self._last_taken_at
