"""The hard ceiling: the slice of a new process, and the complete ceiling as the counter shows it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.decisions.ceiling import CeilingUse
from ingress.interface import CounterReply, Outcome, Plan, TimerFired
from tests.support.gateway import SETTINGS, GatewayHarness, find_sent_attempts
from tests.support.quota import COUNTER_SETTINGS, deliver_requests, get_customer, list_counter_calls

CEILING_PLAN = Plan("basic", rate=2.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=16.0, ceiling_slack=2.0)
SMALL_CEILING_PLAN = Plan(
    "basic", rate=2.0, burst=4.0, ceiling_rate=4.0, ceiling_burst=8.0, ceiling_slack=1.0
)


def send_first_request_of_process(age_s: float, peer_units: float) -> tuple[GatewayHarness, bool]:
    """Deliver a first request of 4 units to a process started `age_s` seconds ago.

    The counter replies that the other gateways have used `peer_units` units.  Return the gateway, and whether
    it sent the request to a backend.
    """
    harness = GatewayHarness(replace(COUNTER_SETTINGS, plans=(CEILING_PLAN,), max_request_units=4))
    harness.gateway.counter.sampling.rate = 1.0
    harness.gateway.process_start.started_at = harness.now - age_s
    harness.deliver_request(units=4.0)
    call = list_counter_calls(harness)[-1]
    return harness, bool(
        find_sent_attempts(
            harness.deliver_event(0.001, CounterReply(call.name, Outcome.OK, call.add + peer_units, 0.001))
        )
    )


@pytest.mark.parametrize(
    ("age_s", "peer_units", "is_admitted"),
    [(0.0, 0.0, True), (0.0, 1.0, False), (0.5, 2.0, True), (0.5, 3.0, False)],
)
def test_new_process_uses_what_the_refilled_ceiling_has_left_after_use_by_others(
    age_s: float, peer_units: float, is_admitted: bool
) -> None:
    """The slice has at most 3 of the 4 units by then, so the complete ceiling decides.

    An exhausted quota leaves 8 units of the ceiling; half of them are the reserve of a new process.
    """
    assert send_first_request_of_process(age_s, peer_units)[1] is is_admitted


def test_lost_count_leaves_no_more_than_the_reserve() -> None:
    harness, is_sent = send_first_request_of_process(60.0, 0.0)
    assert is_sent
    customer = get_customer(harness)
    count = customer.counted_use
    use = CeilingUse(
        count.name,
        known_since=count.started_at,
        peer_units=0.0,
        peer_units_increase=-count.peer_units,
        own_units=4.0,
    )
    customer.ceiling.update_from_count(harness.now, use, count_was_lost=False)
    assert customer.ceiling.fleet_bucket.level > 8.0
    customer.ceiling.update_from_count(harness.now, use, count_was_lost=True)
    assert customer.ceiling.fleet_bucket.level <= customer.ceiling.reserve - 4.0


def test_complete_ceiling_is_used_only_when_a_total_has_just_arrived() -> None:
    harness, _ = send_first_request_of_process(60.0, 0.0)
    customer = get_customer(harness)
    customer.ceiling.slice.level = 0.0
    assert customer.is_under_ceiling(harness.now, 4.0)
    assert not customer.is_under_ceiling(harness.now + 0.01, 4.0)


def test_restarts_of_all_gateways_keep_the_ceiling_when_the_quota_was_used() -> None:
    """Each process starts with new slices, but a restart must not refill the customer's ceiling."""
    plan = replace(CEILING_PLAN, rate=0.5, burst=8.0, ceiling_rate=1.0, ceiling_burst=16.0)
    # `level` and `updated_at` are a model of the bucket of the complete ceiling.
    level, updated_at = plan.ceiling_burst, 100.0
    for restart in range(4):
        harnesses = [GatewayHarness(replace(SETTINGS, plans=(plan,), instance_index=n)) for n in range(2)]
        for harness in harnesses:
            harness.now = 100.0 + 3.0 * restart
            harness.gateway.process_start.started_at = harness.now
        for step in range(60):
            for harness in harnesses:
                sent_count = deliver_requests(harness, 1)
                refilled = level + plan.ceiling_rate * (harness.now - updated_at)
                level = min(plan.ceiling_burst, refilled) - sent_count
                updated_at = harness.now
                harness.now = 100.0 + 3.0 * restart + 0.05 * (step + 1)
            assert level > -plan.ceiling_slack


def test_new_process_admits_no_more_than_its_ceiling_slice_refills() -> None:
    harness = GatewayHarness(replace(SETTINGS, plans=(SMALL_CEILING_PLAN,)))
    sent_count = 0
    for _ in range(200):
        sent_attempts = find_sent_attempts(harness.deliver_request(0.02))
        sent_count += len(sent_attempts)
        for sent in sent_attempts:
            harness.end_attempt(sent, Outcome.OK, 0.001)
    assert sent_count <= SMALL_CEILING_PLAN.ceiling_rate / 2 * (harness.now - 100.0)


def test_resizing_or_evicting_a_customer_does_not_refill_its_ceiling() -> None:
    slow_plan = replace(SMALL_CEILING_PLAN, rate=100.0, burst=100.0, ceiling_rate=0.02, ceiling_burst=8.0)
    harness = GatewayHarness(replace(SETTINGS, plans=(slow_plan,)))
    harness.now += 10000.0
    sent_count = 0
    for n in range(300):
        if n % 20 == 0:
            harness.deliver_event(65.0 if n == 100 else 0.0, TimerFired(0))
        sent_attempts = find_sent_attempts(harness.deliver_request(0.0, assigned_instances=2 + n % 2))
        sent_count += len(sent_attempts)
        for sent in sent_attempts:
            harness.end_attempt(sent, Outcome.OK, 0.001)
    assert sent_count <= 8.0 / 2 + 0.02 * 100
