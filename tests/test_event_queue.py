"""Tests of the queue that passes events to the decision module."""

from __future__ import annotations

import pytest

from ingress.event_queue import EventQueue
from ingress.interface import Event, TimerFired

FIRST = TimerFired(1)
SECOND = TimerFired(2)
THIRD = TimerFired(3)


def test_event_fed_by_the_handler_waits_until_the_handler_returns() -> None:
    steps: list[tuple[str, Event]] = []

    def handle(event: Event) -> None:
        steps.append(("begin", event))
        if event is FIRST:
            queue.feed(SECOND)
            queue.feed(THIRD)
        steps.append(("end", event))

    queue = EventQueue(handle)
    queue.feed(FIRST)
    assert steps == [(step, event) for event in (FIRST, SECOND, THIRD) for step in ("begin", "end")]


def test_events_queued_behind_an_exception_are_handled_by_the_next_call() -> None:
    handled: list[Event] = []

    def handle(event: Event) -> None:
        handled.append(event)
        if event is FIRST:
            queue.feed(SECOND)
            raise RuntimeError("a fault")

    queue = EventQueue(handle)
    with pytest.raises(RuntimeError, match="a fault"):
        queue.feed(FIRST)
    assert handled == [FIRST]
    queue.feed(THIRD)
    assert handled == [FIRST, SECOND, THIRD]
