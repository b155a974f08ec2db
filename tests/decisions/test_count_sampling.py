"""The sampling rate, and which requests are sampled with a higher probability."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.decisions.count_sampling import MIN_SAMPLING_RATE
from ingress.interface import CounterReply, IncrementCounter, Outcome
from tests.support.gateway import Play
from tests.support.quota import COUNTING, LARGE_FLEET, counter_calls, increments, reply_to_calls


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.TIMEOUT])
def test_failing_counter_is_asked_less_often_until_it_recovers(outcome: Outcome) -> None:
    play = Play(LARGE_FLEET)
    calls = 0
    for n in range(300):
        play.ask(0.02, customer=f"c{n}", assigned_instances=100)
        calls += reply_to_calls(play, outcome)
    assert 10 < calls < 100
    assert play.gateway.counter.sampling.rate == pytest.approx(MIN_SAMPLING_RATE)
    calls = 0
    for n in range(200):
        play.ask(0.02, customer=f"d{n}", assigned_instances=100)
        calls += reply_to_calls(play, Outcome.OK, 1.0)
    assert calls > 100


def test_replies_within_half_of_the_timeout_raise_the_sampling_rate() -> None:
    play = Play(LARGE_FLEET)
    play.gateway.counter.sampling.rate = 0.2
    for n in range(100):
        play.ask(0.02, customer=f"c{n}", assigned_instances=100)
        for name in list(play.gateway.counter.calls.in_flight):
            play.at(0.0, CounterReply(name, Outcome.OK, 1.0, 0.4 * LARGE_FLEET.counter_timeout))
    assert play.gateway.counter.sampling.rate > 0.5


def test_calls_that_fail_together_lower_the_sampling_rate_once() -> None:
    play = Play(replace(COUNTING, instance_count=40))
    counter = play.gateway.counter
    counter.sampling.rate = 1.0
    calls = [
        a
        for n in range(4)
        for a in play.ask(customer=f"c{n}", assigned_instances=40)
        if isinstance(a, IncrementCounter)
    ]
    assert len(calls) == 4
    for call in calls:
        play.at(0.001, CounterReply(call.name, Outcome.TIMEOUT))
    assert counter.sampling.rate == pytest.approx(0.5)
    [late_call] = increments(play.ask(0.2, customer="c9", assigned_instances=40))
    play.at(0.0, CounterReply(late_call.name, Outcome.REJECTED))
    assert counter.sampling.rate == pytest.approx(0.25)


def count_sampled_at_slice_level(level: float) -> int:
    """Return for how many of 400 customers with this slice level a request is sampled, at a rate of 0.3."""
    play = Play(LARGE_FLEET)
    play.gateway.counter.sampling.rate = 0.3
    sampled_count = 0
    for n in range(400):
        play.ask(assigned_instances=100, units=2.0, customer=f"c{n}")
        customer = play.gateway.admission.customers_by_key[f"c{n}"]
        customer.counted_use.has_call_in_flight = False
        customer.awaiting_counter = []
        customer.slice.level = level
        call_count_before = len(counter_calls(play))
        play.ask(assigned_instances=100, units=2.0, customer=f"c{n}")
        sampled_count += len(counter_calls(play)) - call_count_before
    return sampled_count


def test_requests_likely_over_quota_are_sampled_more_often() -> None:
    assert count_sampled_at_slice_level(0.0) > 1.5 * count_sampled_at_slice_level(1.0) > 100
