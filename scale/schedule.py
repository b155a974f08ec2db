"""A queue of items, ordered by the time of a simulated clock at which they are due."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(order=True, slots=True)
class ScheduledItem(Generic[T]):
    """An item with the time at which it is due; items of the same time keep the order of their addition."""

    due_at: float  # seconds of the simulated clock
    sequence_number: int  # position in the order of addition, from 1
    item: T = field(compare=False)


class Schedule(Generic[T]):
    """A queue that returns items in the order of the times at which they are due."""

    def __init__(self) -> None:
        self._heap: list[ScheduledItem[T]] = []
        self._added_count = 0

    def __bool__(self) -> bool:
        return bool(self._heap)

    def add(self, due_at: float, item: T) -> None:
        """Add an item that is due at the given time (s)."""
        self._added_count += 1
        heapq.heappush(self._heap, ScheduledItem(due_at, self._added_count, item))

    def is_due_before(self, end: float) -> bool:
        """Return whether an item is due before the given time (s)."""
        return bool(self._heap) and self._heap[0].due_at < end

    def pop(self) -> ScheduledItem[T]:
        """Remove and return the item that is due next."""
        return heapq.heappop(self._heap)
