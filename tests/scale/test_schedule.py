"""Tests of the queue of items that are due at times of a simulated clock."""

from __future__ import annotations

from scale.schedule import Schedule


def test_items_are_returned_by_time_and_then_by_order_of_adding() -> None:
    schedule: Schedule[str] = Schedule()
    for at, item in ((2.0, "late"), (1.0, "first"), (1.0, "second")):
        schedule.add(at, item)
    due = [schedule.pop() for _ in range(3)]
    assert [(each.due_at, each.item) for each in due] == [(1.0, "first"), (1.0, "second"), (2.0, "late")]


def test_schedule_tells_whether_an_item_is_due_before_a_time() -> None:
    schedule: Schedule[str] = Schedule()
    assert not schedule
    assert not schedule.is_due_before(9.0)
    schedule.add(1.0, "first")
    assert schedule
    assert not schedule.is_due_before(1.0)
    assert schedule.is_due_before(1.5)
