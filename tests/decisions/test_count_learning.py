"""The use that is carried over into a new count."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.interface import CounterReply, Outcome
from tests.support.gateway import BASIC_PLAN, GatewayHarness, find_sent_attempts
from tests.support.quota import COUNTER_SETTINGS, find_counter_calls, get_count_start_time


@pytest.mark.parametrize("gateway_count", [1, 2])
def test_new_count_does_not_refill_the_quota(gateway_count: int) -> None:
    """Without the carry-over, a burst that lasts into the next epoch exceeds the quota and the ceiling."""
    harnesses = [GatewayHarness(replace(COUNTER_SETTINGS, instance_index=n)) for n in range(gateway_count)]
    totals: dict[int, float] = {}
    count_names: set[int] = set()
    next_count_starts_at = get_count_start_time(4)
    for harness in harnesses:
        harness.now = harness.gateway.process_start.started_at = next_count_starts_at - 4.0

    def send_request(harness: GatewayHarness) -> int:
        nonlocal count_names
        actions = harness.deliver_request(0.01)
        attempts = find_sent_attempts(actions)
        while calls := find_counter_calls(actions):
            actions = []
            for call in calls:
                totals[call.name] = totals.get(call.name, 0.0) + call.add
                count_names |= {call.name} if call.lifetime > 30.0 else set()
                actions += harness.deliver_event(
                    0.001, CounterReply(call.name, Outcome.OK, totals[call.name], 0.001)
                )
            attempts += find_sent_attempts(actions)
        for attempt in attempts:
            harness.end_attempt(attempt, Outcome.OK, 0.001)
        return len(attempts)

    sent_counts = {False: 0, True: 0}  # by whether the next count has begun
    while harnesses[0].now < next_count_starts_at + 1.0:
        for harness in harnesses:
            sent_counts[harness.now > next_count_starts_at] += send_request(harness)
    assert len(count_names) == 2  # the names of leases, which have a shorter lifetime, are not included
    assert sent_counts[False] >= BASIC_PLAN.burst
    assert sent_counts[True] <= BASIC_PLAN.rate * 1.0 + 2
