"""The sampling rate, and which requests are sampled with a higher probability."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.decisions.count_sampling import MIN_SAMPLING_RATE
from ingress.interface import CounterReply, IncrementCounter, Outcome
from tests.support.gateway import GatewayHarness
from tests.support.quota import (
    COUNTER_SETTINGS,
    LARGE_FLEET_SETTINGS,
    find_counter_calls,
    list_counter_calls,
    reply_to_counter_calls,
)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.TIMEOUT])
def test_failing_counter_is_asked_less_often_until_it_recovers(outcome: Outcome) -> None:
    harness = GatewayHarness(LARGE_FLEET_SETTINGS)
    call_count = 0
    for n in range(300):
        harness.deliver_request(0.02, customer=f"c{n}", assigned_instances=100)
        call_count += reply_to_counter_calls(harness, outcome)
    assert 10 < call_count < 100
    assert harness.gateway.counter.sampling.rate == pytest.approx(MIN_SAMPLING_RATE)
    call_count = 0
    for n in range(200):
        harness.deliver_request(0.02, customer=f"d{n}", assigned_instances=100)
        call_count += reply_to_counter_calls(harness, Outcome.OK, 1.0)
    assert call_count > 100


def test_replies_within_half_of_the_timeout_raise_the_sampling_rate() -> None:
    harness = GatewayHarness(LARGE_FLEET_SETTINGS)
    harness.gateway.counter.sampling.rate = 0.2
    for n in range(100):
        harness.deliver_request(0.02, customer=f"c{n}", assigned_instances=100)
        for name in list(harness.gateway.counter.calls.in_flight):
            harness.deliver_event(
                0.0, CounterReply(name, Outcome.OK, 1.0, 0.4 * LARGE_FLEET_SETTINGS.counter_timeout)
            )
    assert harness.gateway.counter.sampling.rate > 0.5


def test_calls_that_fail_together_lower_the_sampling_rate_once() -> None:
    harness = GatewayHarness(replace(COUNTER_SETTINGS, instance_count=40))
    counter = harness.gateway.counter
    counter.sampling.rate = 1.0
    calls = [
        a
        for n in range(4)
        for a in harness.deliver_request(customer=f"c{n}", assigned_instances=40)
        if isinstance(a, IncrementCounter)
    ]
    assert len(calls) == 4
    for call in calls:
        harness.deliver_event(0.001, CounterReply(call.name, Outcome.TIMEOUT))
    assert counter.sampling.rate == pytest.approx(0.5)
    [late_call] = find_counter_calls(harness.deliver_request(0.2, customer="c9", assigned_instances=40))
    harness.deliver_event(0.0, CounterReply(late_call.name, Outcome.REJECTED))
    assert counter.sampling.rate == pytest.approx(0.25)


def count_sampled_at_slice_level(level: float) -> int:
    """Return for how many of 400 customers with this slice level a request is sampled, at a rate of 0.3."""
    harness = GatewayHarness(LARGE_FLEET_SETTINGS)
    harness.gateway.counter.sampling.rate = 0.3
    sampled_count = 0
    for n in range(400):
        harness.deliver_request(assigned_instances=100, units=2.0, customer=f"c{n}")
        customer = harness.gateway.admission.customers.by_key[f"c{n}"]
        customer.counted_use.has_call_in_flight = False
        customer.requests_awaiting_counter = []
        customer.slice.level = level
        call_count_before = len(list_counter_calls(harness))
        harness.deliver_request(assigned_instances=100, units=2.0, customer=f"c{n}")
        sampled_count += len(list_counter_calls(harness)) - call_count_before
    return sampled_count


def test_requests_likely_over_quota_are_sampled_more_often() -> None:
    assert count_sampled_at_slice_level(0.0) > 1.5 * count_sampled_at_slice_level(1.0) > 100
