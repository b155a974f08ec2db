"""Admission by quota: by the slice, by the counter's totals, and unsampled with an overloaded counter."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.interface import CounterReply, Outcome, Reject
from tests.support.gateway import BASIC_PLAN, GatewayHarness, find_sent_attempts
from tests.support.quota import (
    COUNTER_SETTINGS,
    LARGE_FLEET_SETTINGS,
    deliver_requests,
    find_counter_calls,
    get_count_start_time,
    get_customer,
    list_counter_calls,
    mark_counter_overloaded,
)


def test_slice_admits_its_part_of_the_burst_and_rejects_the_rest() -> None:
    harness = GatewayHarness()
    assert deliver_requests(harness, 10) == 4  # burst 8 over two gateways
    rejection = harness.deliver_request()[-1]
    # The complete quota refills by one unit in 0.5 s, and the retry may come to any gateway.
    assert rejection == Reject(f"r{harness.request_count}", 0.5)
    harness.now += 2.0
    assert deliver_requests(harness, 10) == 2


def test_request_larger_than_the_slice_is_admitted_once_the_slice_has_refilled() -> None:
    harness = GatewayHarness()
    assert len(find_sent_attempts(harness.deliver_request(units=6.0))) == 0  # the slice has 4 units
    harness.now += 2.0
    assert len(find_sent_attempts(harness.deliver_request(units=6.0))) == 1


def test_low_slice_asks_the_counter_and_uses_units_left_by_other_gateways() -> None:
    harness = GatewayHarness(COUNTER_SETTINGS)
    sent_count = deliver_requests(harness, 1)
    while not get_customer(harness).requests_awaiting_counter:
        sent_count += deliver_requests(harness, 1)
        for call in list_counter_calls(harness):
            if (
                call.name in harness.gateway.counter.calls.in_flight
                and not get_customer(harness).requests_awaiting_counter
            ):
                harness.deliver_event(0.001, CounterReply(call.name, Outcome.OK, float(sent_count)))
        assert sent_count < 20
    waiting_id = get_customer(harness).requests_awaiting_counter[0].id
    call = list_counter_calls(harness)[-1]
    assert call.add >= 1.0  # the units of the waiting request are added with the call
    actions = harness.deliver_event(0.001, CounterReply(call.name, Outcome.OK, float(sent_count + 1)))
    assert [s.id for s in find_sent_attempts(actions)] == [waiting_id]


def test_undersized_slice_asks_the_counter_and_its_total_decides() -> None:
    for total, is_sent in ((1.0, True), (9.0, False)):  # units used of a burst of 8, this request's included
        harness = GatewayHarness(LARGE_FLEET_SETTINGS)
        harness.gateway.counter.sampling.rate = 1.0
        harness.now = get_count_start_time(3)  # the customer's count has just begun
        assert not find_sent_attempts(harness.deliver_request(assigned_instances=100))
        actions = harness.deliver_event(
            0.001, CounterReply(list_counter_calls(harness)[-1].name, Outcome.OK, total, 0.001)
        )
        assert bool(find_sent_attempts(actions)) is is_sent


def test_customer_is_limited_to_its_slice_while_the_counter_fails() -> None:
    harness = GatewayHarness(COUNTER_SETTINGS)
    harness.gateway.process_start.started_at = 0.0  # a process so old that its slices start full
    harness.gateway.counter.sampling.rate = 0.0
    assert deliver_requests(harness, 12) == 4


def test_counter_is_not_asked_about_each_request_of_a_customer_far_over_quota() -> None:
    harness = GatewayHarness(COUNTER_SETTINGS)
    total = 0.0
    for _ in range(1000):
        actions = harness.deliver_request(0.01)
        for sent in find_sent_attempts(actions):
            harness.end_attempt(sent, Outcome.OK, 0.001)
        for call in find_counter_calls(actions):
            total += call.add
            for sent in find_sent_attempts(
                harness.deliver_event(0.001, CounterReply(call.name, Outcome.OK, total))
            ):
                harness.end_attempt(sent, Outcome.OK, 0.001)
    assert len(list_counter_calls(harness)) < 12 * BASIC_PLAN.rate * 3


def test_unsampled_request_is_sent_if_that_pays_and_the_counter_is_up() -> None:
    for cost, is_sent in ((0.5, True), (1.5, False)):
        harness = GatewayHarness(
            replace(LARGE_FLEET_SETTINGS, plans=(replace(BASIC_PLAN, over_quota_cost_share=cost),))
        )
        mark_counter_overloaded(harness)
        assert bool(find_sent_attempts(harness.deliver_request(assigned_instances=100))) is is_sent
        harness.now += 20.0  # a counter without a reply for 20 s is down, not overloaded
        assert not find_sent_attempts(harness.deliver_request(assigned_instances=100))


def test_requests_that_come_before_the_slice_refills_are_not_admitted_unsampled() -> None:
    """Without this rule, customers that overloaded 45 gateways caused nearly all attempts beyond quotas."""
    harness = GatewayHarness(
        replace(LARGE_FLEET_SETTINGS, plans=(replace(BASIC_PLAN, over_quota_cost_share=1.0),))
    )
    harness.gateway.counter.sampling.quota_available_probability["basic"] = 0.95
    # Seconds in which the slice of one of 100 gateways refills by one unit.
    refill_time = 100 / BASIC_PLAN.rate

    def send_request(delay_s: float, customer: str) -> bool:
        harness.now += delay_s
        mark_counter_overloaded(harness)
        attempts = find_sent_attempts(harness.deliver_request(assigned_instances=100, customer=customer))
        for attempt in attempts:
            harness.end_attempt(attempt)
        return bool(attempts)

    assert send_request(0.0, "excessive")  # a first request is admitted: most customers keep to their quotas
    # No more requests are sent than the slice refills units.
    assert sum(send_request(refill_time / 5, "excessive") for _ in range(20)) <= 4
    assert send_request(0.0, "other")
    assert send_request(refill_time * 1.01, "excessive")  # after a pause the customer is admitted again


@pytest.mark.parametrize(
    ("is_client_retry", "slice_level", "is_admitted"),
    [(False, 0.0, True), (True, 0.0, False), (True, 0.5, True)],
)
def test_client_retry_on_a_low_slice_is_not_admitted_unsampled(
    is_client_retry: bool, slice_level: float, is_admitted: bool
) -> None:
    harness = GatewayHarness(LARGE_FLEET_SETTINGS)
    harness.gateway.counter.sampling.rate = 0.0
    harness.deliver_request(assigned_instances=100, units=2.0)
    harness.now += 2.0 * 100 / BASIC_PLAN.rate + 1.0  # the slice has refilled since the last request
    harness.gateway.counter.last_success_at = harness.now
    customer = get_customer(harness)
    customer.slice.level = slice_level
    customer.slice.updated_at = harness.now
    assert (
        bool(
            find_sent_attempts(
                harness.deliver_request(assigned_instances=100, units=2.0, is_client_retry=is_client_retry)
            )
        )
        is is_admitted
    )
    # The slice has not refilled since the last request.
    assert not find_sent_attempts(
        harness.deliver_request(assigned_instances=100, units=2.0, is_client_retry=is_client_retry)
    )


def test_client_retry_too_late_for_its_latency_objective_is_rejected() -> None:
    harness = GatewayHarness()
    assert find_sent_attempts(harness.deliver_request(remaining_time=4.0))
    assert find_sent_attempts(harness.deliver_request(remaining_time=3.7, is_client_retry=True))
    # 1.5 s have passed since the first try, and the objective is 1 s.
    assert not find_sent_attempts(harness.deliver_request(remaining_time=2.5, is_client_retry=True))


@pytest.mark.parametrize(
    ("gateway_count", "assigned_instances", "first_instance"),
    [(1, 1, 0), (1000, 1, 999), (1000, 1000, 0), (1000, 700, 900)],
)
def test_total_decides_for_any_number_of_gateways_and_for_a_range_that_wraps_around(
    gateway_count: int, assigned_instances: int, first_instance: int
) -> None:
    harness = GatewayHarness(replace(COUNTER_SETTINGS, instance_count=gateway_count))
    harness.gateway.counter.sampling.rate = 1.0
    # The request takes more than half of any slice, so the counter is asked.
    assert not find_sent_attempts(
        harness.deliver_request(
            assigned_instances=assigned_instances, first_instance=first_instance, units=6.0
        )
    )
    peer_indices = get_customer(harness).peer_indices(harness.gateway.settings)
    assert len(set(peer_indices) | {0}) in (assigned_instances, assigned_instances + 1)
    assert all(0 <= n < gateway_count for n in peer_indices)
    assert find_sent_attempts(
        harness.deliver_event(
            0.001, CounterReply(list_counter_calls(harness)[-1].name, Outcome.OK, 1.0, 0.001)
        )
    )
