"""The limit on the number of customers that a gateway keeps state of."""

from __future__ import annotations

from dataclasses import replace

from ingress.decisions.customer_table import RECLAIM_PERIOD_S
from ingress.interface import Outcome, Reject
from tests.support.gateway import BASIC_PLAN, SETTINGS, GatewayHarness, find_sent_attempts
from tests.support.quota import COUNTER_SETTINGS, deliver_requests

MAX_CUSTOMERS = 10


def use_up_quota(harness: GatewayHarness, customer: str) -> None:
    assert deliver_requests(harness, 20, customer=customer) == 4


def test_ever_new_customers_are_bounded() -> None:
    """Guards against memory that grows with the names that requests give."""
    harness = GatewayHarness(max_customers=MAX_CUSTOMERS)
    for number in range(500):
        for sent in find_sent_attempts(harness.deliver_request(0.2, customer=f"c{number}")):
            harness.end_attempt(sent, Outcome.OK, 0.0)
        assert len(harness.gateway.admission.customers.by_key) <= MAX_CUSTOMERS
        assert len(harness.gateway.admission.customers.by_hash) <= MAX_CUSTOMERS


def test_customer_that_was_dropped_gets_no_second_burst() -> None:
    harness = GatewayHarness(max_customers=MAX_CUSTOMERS)
    use_up_quota(harness, "greedy")
    for number in range(100):
        deliver_requests(harness, 1, customer=f"c{number}")
    assert deliver_requests(harness, 5, customer="greedy") == 0
    harness.now += 1 / BASIC_PLAN.rate  # half a unit in the slice of one of two gateways
    for number in range(100):
        deliver_requests(harness, 1, customer=f"d{number}")
    assert deliver_requests(harness, 5, customer="greedy") <= 1


def test_new_customer_is_rejected_while_no_other_can_be_dropped() -> None:
    settings = replace(SETTINGS, sends_retry_after=True)
    harness = GatewayHarness(settings, max_customers=MAX_CUSTOMERS)
    for number in range(MAX_CUSTOMERS):
        use_up_quota(harness, f"c{number}")
    [answer] = harness.deliver_request(customer="new")
    assert isinstance(answer, Reject)
    assert answer.retry_after == RECLAIM_PERIOD_S
    assert not harness.gateway.requests
    harness.now += BASIC_PLAN.burst / BASIC_PLAN.rate
    assert find_sent_attempts(harness.deliver_request(customer="new"))


def test_known_customers_are_served_while_the_table_is_full() -> None:
    harness = GatewayHarness(max_customers=MAX_CUSTOMERS)
    for number in range(MAX_CUSTOMERS):
        deliver_requests(harness, 1, customer=f"c{number}")
    assert isinstance(harness.deliver_request(customer="new")[0], Reject)
    assert deliver_requests(harness, 1, customer="c0") == 1


def test_customer_with_an_attempt_in_flight_is_not_dropped() -> None:
    harness = GatewayHarness(max_customers=1)
    [sent] = find_sent_attempts(harness.deliver_request(customer="busy"))
    harness.now += 60.0
    assert isinstance(harness.deliver_request(customer="new")[0], Reject)
    harness.end_attempt(sent, Outcome.OK, 2.0)
    harness.now += 60.0
    assert find_sent_attempts(harness.deliver_request(customer="new"))


def test_use_below_the_ceiling_of_all_gateways_keeps_a_customer() -> None:
    """Guards against granting the ceiling's burst again to a customer that was dropped and came back."""
    plan = replace(BASIC_PLAN, ceiling_rate=1.0, ceiling_burst=40.0, ceiling_slack=4.0)
    harness = GatewayHarness(replace(COUNTER_SETTINGS, plans=(plan,)), max_customers=1)
    harness.now += 1000.0
    [sent] = find_sent_attempts(harness.deliver_request(customer="capped", units=0.5))
    harness.end_attempt(sent)
    harness.gateway.admission.customers.by_key["capped"].ceiling.fleet_bucket.take_units(20.0)
    assert isinstance(harness.deliver_request(5.0, customer="new")[0], Reject)
    assert find_sent_attempts(harness.deliver_request(30.0, customer="new"))
