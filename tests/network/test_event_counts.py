"""The counts of events and their text in the log."""

from __future__ import annotations

from enum import StrEnum

from ingress.network.event_counts import EventCounts


class Event(StrEnum):
    CLOSED = "connection_closed.idle"
    REFUSED = "request_refused.decision"


def test_counts_are_formatted_by_name_and_zeros_are_left_out() -> None:
    counts = EventCounts()
    assert counts.format() == ""
    counts.add(Event.REFUSED)
    counts.add(Event.CLOSED)
    counts.add(Event.CLOSED)
    assert counts.get(Event.CLOSED) == 2
    assert counts.format() == "connection_closed.idle=2 request_refused.decision=1"
