"""The state of a customer: settled units, refunds, eviction."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.interface import Outcome, RequestCancelled, TimerFired
from tests.support.gateway import BASIC_PLAN, SETTINGS, GatewayHarness, find_sent_attempts
from tests.support.quota import COUNTER_SETTINGS, deliver_requests, get_customer


def test_answer_settles_the_estimated_units() -> None:
    harness = GatewayHarness()
    sent = find_sent_attempts(harness.deliver_request(units=1.0))[0]
    harness.end_attempt(sent, Outcome.OK, 0.0, settled_units=4.0)
    assert deliver_requests(harness, 10) == 0
    harness.now += 1.0
    assert deliver_requests(harness, 10) == 1


def test_idle_customers_with_full_buckets_are_evicted() -> None:
    harness = GatewayHarness()
    for n in range(50):
        harness.deliver_request(customer=f"c{n}")
    for sent in find_sent_attempts(list(harness.actions)):
        harness.end_attempt(sent, Outcome.OK, 0.0)
    harness.deliver_event(61.0, TimerFired(0))
    assert not harness.gateway.admission.customers.by_key
    assert not harness.gateway.admission.customers.by_hash


def test_evicted_customer_has_no_use_left_to_report() -> None:
    """Customers that send a single request use too little to report; this must not prevent their eviction."""
    harness = GatewayHarness(COUNTER_SETTINGS)
    for number in range(50):
        [sent] = find_sent_attempts(harness.deliver_request(0.01, customer=f"once-{number}", units=0.5))
        harness.end_attempt(sent)
    assert len(harness.gateway.counter.calls.customers_to_report) == 50
    harness.deliver_event(100.0, TimerFired(0))
    assert not harness.gateway.admission.customers.by_key
    assert not harness.gateway.counter.calls.customers_to_report


@pytest.mark.parametrize("outcome", [Outcome.SUPERSEDED, Outcome.TIMEOUT])
def test_request_is_refunded_only_if_it_was_dropped_before_it_was_written(outcome: Outcome) -> None:
    harness = GatewayHarness()
    [sent] = find_sent_attempts(harness.deliver_request(units=4.0))  # all units of the slice
    harness.deliver_event(0.0, RequestCancelled(sent.id))
    harness.end_attempt(sent, outcome, 0.0, finished=True)
    assert deliver_requests(harness, 10) == (4 if outcome is Outcome.SUPERSEDED else 0)
    harness.now += 100.0
    assert deliver_requests(harness, 10) == 4  # no bucket holds more units than it did at the start


def test_request_that_a_backend_may_have_received_is_not_refunded() -> None:
    harness = GatewayHarness()
    [sent] = find_sent_attempts(harness.deliver_request(units=4.0))
    [second] = find_sent_attempts(harness.end_attempt(sent, Outcome.REJECTED, 0.0))
    harness.end_attempt(second, Outcome.SUPERSEDED, 0.0, attempt_number=1, finished=True)
    assert deliver_requests(harness, 10) == 0


def test_ceiling_is_refunded_once_for_what_never_reached_a_backend() -> None:
    plan = replace(BASIC_PLAN, ceiling_rate=4.0, ceiling_burst=16.0)
    harness = GatewayHarness(replace(SETTINGS, plans=(plan,)))
    harness.now += 100.0
    [sent] = find_sent_attempts(harness.deliver_request(units=4.0))
    customer = get_customer(harness)
    levels_before = customer.ceiling.slice.level, customer.ceiling.fleet_bucket.level
    harness.end_attempt(sent, Outcome.SUPERSEDED, 0.0, finished=True)
    assert (customer.ceiling.slice.level, customer.ceiling.fleet_bucket.level) == (
        levels_before[0] + 4.0,
        levels_before[1] + 4.0,
    )
    # A repeated outcome is not refunded again.
    harness.end_attempt(sent, Outcome.SUPERSEDED, 0.0, finished=True)
    assert customer.ceiling.slice.level == levels_before[0] + 4.0


def test_refunded_units_are_taken_off_the_unreported_use() -> None:
    harness = GatewayHarness(COUNTER_SETTINGS)
    [sent] = find_sent_attempts(harness.deliver_request(units=3.0))
    customer = get_customer(harness)
    assert customer.counted_use.unreported_units == 3.0
    harness.end_attempt(sent, Outcome.SUPERSEDED, 0.0, finished=True)
    assert customer.counted_use.unreported_units == 0.0
    assert customer.estimate.level(harness.now) == BASIC_PLAN.burst
