"""Whether the client of a connection is still there, for those that outlive the connection."""

from __future__ import annotations

from collections.abc import Callable


class ClientPresence:
    """The presence of one connection's client."""

    __slots__ = ("_check",)

    def __init__(self, check: Callable[[], bool]) -> None:
        """Create the presence of a connected client; `check` returns whether it still is."""
        self._check: Callable[[], bool] | None = check

    def has_left(self) -> bool:
        """Return whether the client has left, also if the event loop has not reported it yet."""
        return self._check is None or not self._check()

    def end(self) -> None:
        """Record that the client has left, and release its connection."""
        self._check = None
