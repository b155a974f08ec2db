"""A queue that passes events to the decision module one at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ingress.interface import Event


class EventQueue:
    """Queue that passes events to a handler in the order of arrival, one at a time.

    The actions that follow from one event may immediately produce further events; these are queued until the
    handler returns.
    """

    def __init__(self, handle: Callable[[Event], None]) -> None:
        self._handle = handle
        self._events: deque[Event] = deque()
        self._is_handling = False

    def feed(self, event: Event) -> None:
        """Handle the event and all events that it causes; only queue it if a call of `feed` is under way.

        An exception raised by the handler is passed on to the caller; the events that are still queued are
        handled by the next call.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False
