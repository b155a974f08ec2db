"""Calls to the shared counter: which requests share a call, and which units are added and taken back."""

from __future__ import annotations

from dataclasses import replace

from ingress.interface import CounterReply, Outcome, Reject
from tests.support.gateway import BASIC_PLAN, GatewayHarness, find_sent_attempts
from tests.support.quota import (
    COUNTER_SETTINGS,
    LARGE_FLEET_SETTINGS,
    find_counter_calls,
    get_count_start_time,
    list_counter_calls,
)


def test_request_awaits_the_call_in_flight_and_is_counted_with_the_next_call() -> None:
    harness = GatewayHarness(LARGE_FLEET_SETTINGS)
    harness.gateway.counter.sampling.rate = 1.0
    harness.now = get_count_start_time(3)
    for _ in range(3):
        assert not find_sent_attempts(harness.deliver_request(assigned_instances=100, units=4.0))
    assert len(list_counter_calls(harness)) == 1
    actions = harness.deliver_event(
        0.001, CounterReply(list_counter_calls(harness)[-1].name, Outcome.OK, 4.0, 0.001)
    )
    assert len(find_sent_attempts(actions)) == 2  # burst 8
    assert [call.add for call in find_counter_calls(actions)] == [4.0]  # the units of the second request


def test_first_total_includes_the_units_of_the_request_that_awaits_it() -> None:
    harness = GatewayHarness(replace(COUNTER_SETTINGS, plans=(replace(BASIC_PLAN, rate=0.001, burst=1.0),)))
    harness.gateway.counter.sampling.rate = 1.0
    harness.deliver_request()
    call = list_counter_calls(harness)[-1]
    assert (
        len(find_sent_attempts(harness.deliver_event(0.001, CounterReply(call.name, Outcome.OK, 1.0)))) == 1
    )


def test_units_of_a_rejected_request_are_taken_back_immediately() -> None:
    """Otherwise the rejected requests of a customer that sends too many would use up its quota."""
    harness = GatewayHarness(LARGE_FLEET_SETTINGS)
    harness.gateway.counter.sampling.rate = 1.0
    harness.now = get_count_start_time(3)
    harness.deliver_request(assigned_instances=100, units=6.0)
    call = list_counter_calls(harness)[-1]
    assert call.add == 6.0
    total = call.add + 5.0  # 3 of 8 units are left
    actions = harness.deliver_event(0.001, CounterReply(call.name, Outcome.OK, total, 0.001))
    assert isinstance(actions[0], Reject)
    assert [call.add for call in find_counter_calls(actions)] == [-6.0]
    harness.deliver_event(0.001, CounterReply(call.name, Outcome.OK, 5.0, 0.001))
    harness.now += 1.0
    harness.deliver_request(assigned_instances=100, units=3.0)
    call = list_counter_calls(harness)[-1]
    assert call.add == 3.0
    assert find_sent_attempts(harness.deliver_event(0.001, CounterReply(call.name, Outcome.OK, 8.0, 0.001)))


def test_report_period_is_a_quarter_second_for_a_large_fleet() -> None:
    assert GatewayHarness(LARGE_FLEET_SETTINGS).gateway.timers.tick_period == 0.25
