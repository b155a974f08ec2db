"""Calls to the shared counter: which requests share a call, and which units are added and taken back."""

from __future__ import annotations

from dataclasses import replace

from ingress.interface import CounterReply, Outcome, Reject
from tests.support.gateway import BASIC, Play, sends
from tests.support.quota import COUNTING, LARGE_FLEET, count_started_at, counter_calls, increments


def test_request_awaits_the_call_in_flight_and_is_counted_with_the_next_call() -> None:
    play = Play(LARGE_FLEET)
    play.gateway.counter.sampling.rate = 1.0
    play.now = count_started_at(3)
    for _ in range(3):
        assert not sends(play.ask(assigned_instances=100, units=4.0))
    assert len(counter_calls(play)) == 1
    answer = play.at(0.001, CounterReply(counter_calls(play)[-1].name, Outcome.OK, 4.0, 0.001))
    assert len(sends(answer)) == 2  # burst 8
    assert [call.add for call in increments(answer)] == [4.0]  # the units of the second request


def test_first_total_includes_the_units_of_the_request_that_awaits_it() -> None:
    play = Play(replace(COUNTING, plans=(replace(BASIC, rate=0.001, burst=1.0),)))
    play.gateway.counter.sampling.rate = 1.0
    play.ask()
    call = counter_calls(play)[-1]
    assert len(sends(play.at(0.001, CounterReply(call.name, Outcome.OK, 1.0)))) == 1


def test_units_of_a_rejected_request_are_taken_back_immediately() -> None:
    """Otherwise the rejected requests of a customer that sends too many would use up its quota."""
    play = Play(LARGE_FLEET)
    play.gateway.counter.sampling.rate = 1.0
    play.now = count_started_at(3)
    play.ask(assigned_instances=100, units=6.0)
    call = counter_calls(play)[-1]
    assert call.add == 6.0
    total = call.add + 5.0  # 3 of 8 units are left
    answer = play.at(0.001, CounterReply(call.name, Outcome.OK, total, 0.001))
    assert isinstance(answer[0], Reject)
    assert [call.add for call in increments(answer)] == [-6.0]
    play.at(0.001, CounterReply(call.name, Outcome.OK, 5.0, 0.001))
    play.now += 1.0
    play.ask(assigned_instances=100, units=3.0)
    call = counter_calls(play)[-1]
    assert call.add == 3.0
    assert sends(play.at(0.001, CounterReply(call.name, Outcome.OK, 8.0, 0.001)))


def test_report_period_is_a_quarter_second_for_a_large_fleet() -> None:
    assert Play(LARGE_FLEET).gateway.timers.period == 0.25
