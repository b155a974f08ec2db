"""Counts of the events that an on-call engineer asks about: closes, refusals, failures and retries."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


class EventCounts:
    """How often each event has happened since the process started.

    The value of an event is its name in the log, of the form `group.reason`.
    """

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        """Create counts of zero."""
        self._counts: Counter[StrEnum] = Counter()

    def add(self, event: StrEnum) -> None:
        """Count an event."""
        self._counts[event] += 1

    def get(self, event: StrEnum) -> int:
        """Return how often the event has happened."""
        return self._counts[event]

    def format(self) -> str:
        """Return all counts that are not zero as text, in the order of the events' names."""
        return " ".join(f"{event.value}={count}" for event, count in sorted(self._counts.items()))
