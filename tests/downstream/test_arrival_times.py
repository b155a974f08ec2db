"""The arrival times of a stream's bytes."""

from __future__ import annotations

from ingress.downstream.arrival_times import RESOLUTION_S, ArrivalTimes


def test_taken_bytes_have_the_arrival_of_their_last_byte() -> None:
    times = ArrivalTimes(1.0)
    times.add(10, 2.0)
    times.add(10, 3.0)
    assert times.take(10) == 2.0
    assert times.take(5) == 3.0
    assert times.take(5) == 3.0
    assert len(times) == 0


def test_bytes_that_arrive_together_share_the_earliest_time() -> None:
    """Guards against one entry for each of the single bytes that a slow client sends."""
    times = ArrivalTimes(1.0)
    for number in range(1000):
        times.add(1, 2.0 + number * RESOLUTION_S / 1000)
    assert len(times) == 1
    assert times.take(1000) == 2.0
