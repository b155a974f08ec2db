"""Admission by quota: by the slice, by the counter's totals, and without an overloaded counter."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.interface import CounterReply, Outcome, Reject
from tests.support.gateway import BASIC, Play, sends
from tests.support.quota import (
    COUNTING,
    LARGE_FLEET,
    count_started_at,
    counter_calls,
    customer_of,
    increments,
    overload_counter,
    spend,
)


def test_slice_admits_its_part_of_the_burst_and_rejects_the_rest_at_once() -> None:
    play = Play()
    assert spend(play, 10) == 4  # burst 8 over two gateways
    rejection = play.ask()[-1]
    # The complete quota refills by one unit in 0.5 s, and the retry may come to any gateway.
    assert rejection == Reject(f"r{play.count}", 0.5)
    play.now += 2.0
    assert spend(play, 10) == 2


def test_request_larger_than_the_slice_is_admitted_once_the_slice_has_refilled() -> None:
    play = Play()
    assert len(sends(play.ask(units=6.0))) == 0  # the slice has 4 units
    play.now += 2.0
    assert len(sends(play.ask(units=6.0))) == 1


def test_low_slice_asks_the_counter_and_uses_units_left_by_other_gateways() -> None:
    play = Play(COUNTING)
    sent_count = spend(play, 1)
    while not customer_of(play).awaiting_counter:
        sent_count += spend(play, 1)
        for call in counter_calls(play):
            if call.name in play.gateway.counter.calls.in_flight and not customer_of(play).awaiting_counter:
                play.at(0.001, CounterReply(call.name, Outcome.OK, float(sent_count)))
        assert sent_count < 20
    waiting_id = customer_of(play).awaiting_counter[0].id
    call = counter_calls(play)[-1]
    assert call.add >= 1.0  # the units of the waiting request are added with the call
    answer = play.at(0.001, CounterReply(call.name, Outcome.OK, float(sent_count + 1)))
    assert [s.id for s in sends(answer)] == [waiting_id]


def test_undersized_slice_asks_the_counter_and_its_total_decides() -> None:
    for total, passes in ((1.0, True), (9.0, False)):  # units used of a burst of 8, this request's included
        play = Play(LARGE_FLEET)
        play.gateway.counter.sampling.rate = 1.0
        play.now = count_started_at(3)  # the customer's count has just begun
        assert not sends(play.ask(assigned_instances=100))
        answer = play.at(0.001, CounterReply(counter_calls(play)[-1].name, Outcome.OK, total, 0.001))
        assert bool(sends(answer)) is passes


def test_customer_is_limited_to_its_slice_while_the_counter_fails() -> None:
    play = Play(COUNTING)
    play.gateway.process.started_at = 0.0  # a process so old that its slices start full
    play.gateway.counter.sampling.rate = 0.0
    assert spend(play, 12) == 4


def test_counter_is_not_asked_about_each_request_of_a_customer_far_over_quota() -> None:
    play = Play(COUNTING)
    total = 0.0
    for _ in range(1000):
        actions = play.ask(0.01)
        for sent in sends(actions):
            play.end(sent, Outcome.OK, 0.001)
        for call in increments(actions):
            total += call.add
            for sent in sends(play.at(0.001, CounterReply(call.name, Outcome.OK, total))):
                play.end(sent, Outcome.OK, 0.001)
    assert len(counter_calls(play)) < 12 * BASIC.rate * 3


def test_unsampled_request_is_sent_if_that_pays_and_the_counter_is_up() -> None:
    for cost, passes in ((0.5, True), (1.5, False)):
        play = Play(replace(LARGE_FLEET, plans=(replace(BASIC, over_quota_cost_share=cost),)))
        overload_counter(play)
        assert bool(sends(play.ask(assigned_instances=100))) is passes
        play.now += 20.0  # a counter without a reply for 20 s is down, not overloaded
        assert not sends(play.ask(assigned_instances=100))


def test_requests_that_come_before_the_slice_refills_are_not_admitted_unsampled() -> None:
    """Customers that sent more than their quotas to 45 gateways caused nearly all attempts beyond quotas."""
    play = Play(replace(LARGE_FLEET, plans=(replace(BASIC, over_quota_cost_share=1.0),)))
    play.gateway.counter.sampling.quota_available_probability["basic"] = 0.95
    refill_time = 100 / BASIC.rate  # seconds in which the slice of one of 100 gateways refills by one unit

    def ask(after: float, customer: str) -> bool:
        play.now += after
        overload_counter(play)
        sent = sends(play.ask(assigned_instances=100, customer=customer))
        for send in sent:
            play.end(send)
        return bool(sent)

    assert ask(0.0, "excessive")  # a first request is admitted: most customers keep to their quotas
    # No more requests are sent than the slice refills units.
    assert sum(ask(refill_time / 5, "excessive") for _ in range(20)) <= 4
    assert ask(0.0, "other")
    assert ask(refill_time * 1.01, "excessive")  # after a pause the customer is admitted again


@pytest.mark.parametrize(
    ("is_client_retry", "level", "passes"), [(False, 0.0, True), (True, 0.0, False), (True, 0.5, True)]
)
def test_client_retry_on_a_low_slice_is_not_admitted_unsampled(
    is_client_retry: bool, level: float, passes: bool
) -> None:
    play = Play(LARGE_FLEET)
    play.gateway.counter.sampling.rate = 0.0
    play.ask(assigned_instances=100, units=2.0)
    play.now += 2.0 * 100 / BASIC.rate + 1.0  # the slice has refilled since the last request
    play.gateway.counter.last_reply_at = play.now
    customer = customer_of(play)
    customer.slice.level = level
    customer.slice.updated_at = play.now
    assert bool(sends(play.ask(assigned_instances=100, units=2.0, is_client_retry=is_client_retry))) is passes
    # The slice has not refilled since the last request.
    assert not sends(play.ask(assigned_instances=100, units=2.0, is_client_retry=is_client_retry))


def test_client_retry_too_late_for_its_latency_objective_is_rejected() -> None:
    play = Play()
    assert sends(play.ask(remaining_time=4.0))
    assert sends(play.ask(remaining_time=3.7, is_client_retry=True))
    # 1.5 s have passed since the first try, and the objective is 1 s.
    assert not sends(play.ask(remaining_time=2.5, is_client_retry=True))


@pytest.mark.parametrize(
    ("gateways", "assigned_instances", "first"),
    [(1, 1, 0), (1000, 1, 999), (1000, 1000, 0), (1000, 700, 900)],
)
def test_total_decides_for_any_number_of_gateways_and_for_a_range_that_wraps_around(
    gateways: int, assigned_instances: int, first: int
) -> None:
    play = Play(replace(COUNTING, instance_count=gateways))
    play.gateway.counter.sampling.rate = 1.0
    # The request takes more than half of any slice, so the counter is asked.
    assert not sends(play.ask(assigned_instances=assigned_instances, first_instance=first, units=6.0))
    peer_indices = customer_of(play).peer_indices(play.gateway.settings)
    assert len(set(peer_indices) | {0}) in (assigned_instances, assigned_instances + 1)
    assert all(0 <= n < gateways for n in peer_indices)
    assert sends(play.at(0.001, CounterReply(counter_calls(play)[-1].name, Outcome.OK, 1.0, 0.001)))
