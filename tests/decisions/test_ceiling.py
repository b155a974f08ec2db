"""The hard ceiling: the slice of a new process, and the complete ceiling as the counter shows it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.decisions.ceiling import CeilingUse
from ingress.interface import CounterReply, Outcome, Plan, TimerFired
from tests.support.gateway import SETTINGS, Play, sends
from tests.support.quota import COUNTING, counter_calls, customer_of, spend

CEILING_PLAN = Plan("basic", rate=2.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=16.0, ceiling_slack=2.0)
SMALL_CEILING_PLAN = Plan(
    "basic", rate=2.0, burst=4.0, ceiling_rate=4.0, ceiling_burst=8.0, ceiling_slack=1.0
)


def send_first_request_of_process(age: float, others: float) -> tuple[Play, bool]:
    """Send a first request of 4 units to a process started `age` seconds ago; return whether it is sent on.

    The counter replies that other gateways have used `others` units.  The gateway is returned too.
    """
    play = Play(replace(COUNTING, plans=(CEILING_PLAN,), max_request_units=4))
    play.gateway.counter.sampling.rate = 1.0
    play.gateway.process.started_at = play.now - age
    play.ask(units=4.0)
    call = counter_calls(play)[-1]
    return play, bool(sends(play.at(0.001, CounterReply(call.name, Outcome.OK, call.add + others, 0.001))))


@pytest.mark.parametrize(
    ("age", "others", "passes"), [(0.0, 0.0, True), (0.0, 1.0, False), (0.5, 2.0, True), (0.5, 3.0, False)]
)
def test_new_process_uses_what_the_refilled_ceiling_has_left_after_use_by_others(
    age: float, others: float, passes: bool
) -> None:
    """The slice has at most 3 of the 4 units by then, so the complete ceiling decides.

    An exhausted quota leaves 8 units of the ceiling; half of them are the reserve of a new process.
    """
    assert send_first_request_of_process(age, others)[1] is passes


def test_lost_count_leaves_no_more_than_the_reserve() -> None:
    play, is_sent = send_first_request_of_process(60.0, 0.0)
    assert is_sent
    customer = customer_of(play)
    count = customer.counted_use
    use = CeilingUse(
        count.name,
        known_since=count.started_at,
        peer_units=0.0,
        peer_units_increase=-count.peer_units,
        own_units=4.0,
    )
    customer.ceiling.update_from_count(play.now, use, count_was_lost=False)
    assert customer.ceiling.fleet_bucket.level > 8.0
    customer.ceiling.update_from_count(play.now, use, count_was_lost=True)
    assert customer.ceiling.fleet_bucket.level <= customer.ceiling.reserve - 4.0


def test_complete_ceiling_is_used_only_when_a_total_has_just_arrived() -> None:
    play, _ = send_first_request_of_process(60.0, 0.0)
    customer = customer_of(play)
    customer.ceiling.slice.level = 0.0
    assert customer.under_ceiling(play.now, 4.0)
    assert not customer.under_ceiling(play.now + 0.01, 4.0)


def test_restarts_of_all_gateways_keep_the_ceiling_when_the_quota_was_used() -> None:
    """Each process starts with new slices, but a restart must not refill the customer's ceiling."""
    plan = replace(CEILING_PLAN, rate=0.5, burst=8.0, ceiling_rate=1.0, ceiling_burst=16.0)
    level, updated_at = plan.ceiling_burst, 100.0
    for restart in range(4):
        plays = [Play(replace(SETTINGS, plans=(plan,), instance_index=n)) for n in range(2)]
        for play in plays:
            play.now = 100.0 + 3.0 * restart
            play.gateway.process.started_at = play.now
        for step in range(60):
            for play in plays:
                sent_count = spend(play, 1)
                refilled = level + plan.ceiling_rate * (play.now - updated_at)
                level = min(plan.ceiling_burst, refilled) - sent_count
                updated_at = play.now
                play.now = 100.0 + 3.0 * restart + 0.05 * (step + 1)
            assert level > -plan.ceiling_slack


def test_new_process_starts_with_an_empty_ceiling_and_never_exceeds_it() -> None:
    play = Play(replace(SETTINGS, plans=(SMALL_CEILING_PLAN,)))
    sent_count = 0
    for _ in range(200):
        sent_attempts = sends(play.ask(0.02))
        sent_count += len(sent_attempts)
        for sent in sent_attempts:
            play.end(sent, Outcome.OK, 0.001)
    assert sent_count <= SMALL_CEILING_PLAN.ceiling_rate / 2 * (play.now - 100.0)


def test_resizing_or_evicting_a_customer_does_not_refill_its_ceiling() -> None:
    slow = replace(SMALL_CEILING_PLAN, rate=100.0, burst=100.0, ceiling_rate=0.02, ceiling_burst=8.0)
    play = Play(replace(SETTINGS, plans=(slow,)))
    play.now += 10000.0
    sent_count = 0
    for n in range(300):
        if n % 20 == 0:
            play.at(65.0 if n == 100 else 0.0, TimerFired(0))
        sent_attempts = sends(play.ask(0.0, assigned_instances=2 + n % 2))
        sent_count += len(sent_attempts)
        for sent in sent_attempts:
            play.end(sent, Outcome.OK, 0.001)
    assert sent_count <= 8.0 / 2 + 0.02 * 100
