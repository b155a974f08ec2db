"""The state of a customer: settled units, refunds, eviction."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.interface import Outcome, RequestCancelled, TimerFired
from tests.support.gateway import BASIC, SETTINGS, Play, sends
from tests.support.quota import COUNTING, customer_of, spend


def test_answer_settles_the_estimated_units() -> None:
    play = Play()
    sent = sends(play.ask(units=1.0))[0]
    play.end(sent, Outcome.OK, 0.0, settled_units=4.0)
    assert spend(play, 10) == 0
    play.now += 1.0
    assert spend(play, 10) == 1


def test_idle_customers_with_full_buckets_are_evicted() -> None:
    play = Play()
    for n in range(50):
        play.ask(customer=f"c{n}")
    for sent in sends(list(play.actions)):
        play.end(sent, Outcome.OK, 0.0)
    play.at(61.0, TimerFired(0))
    assert not play.gateway.admission.customers_by_key
    assert not play.gateway.admission.customers_by_hash


def test_evicted_customer_has_no_use_left_to_report() -> None:
    """Customers that send a single request use too little to report, and must not be kept until they do."""
    play = Play(COUNTING)
    for number in range(50):
        [sent] = sends(play.ask(0.01, customer=f"once-{number}", units=0.5))
        play.end(sent)
    assert len(play.gateway.counter.calls.customers_to_report) == 50
    play.at(100.0, TimerFired(0))
    assert not play.gateway.admission.customers_by_key
    assert not play.gateway.counter.calls.customers_to_report


@pytest.mark.parametrize("outcome", [Outcome.SUPERSEDED, Outcome.TIMEOUT])
def test_request_is_refunded_only_if_it_was_dropped_before_it_was_written(outcome: Outcome) -> None:
    play = Play()
    [sent] = sends(play.ask(units=4.0))  # all units of the slice
    play.at(0.0, RequestCancelled(sent.id))
    play.end(sent, outcome, 0.0, finished=True)
    assert spend(play, 10) == (4 if outcome is Outcome.SUPERSEDED else 0)
    play.now += 100.0
    assert spend(play, 10) == 4  # no bucket holds more units than it did at the start


def test_request_that_a_backend_may_have_received_is_not_refunded() -> None:
    play = Play()
    [sent] = sends(play.ask(units=4.0))
    [second] = sends(play.end(sent, Outcome.REJECTED, 0.0))
    play.end(second, Outcome.SUPERSEDED, 0.0, attempt=1, finished=True)
    assert spend(play, 10) == 0


def test_ceiling_is_refunded_once_for_what_never_reached_a_backend() -> None:
    plan = replace(BASIC, ceiling_rate=4.0, ceiling_burst=16.0)
    play = Play(replace(SETTINGS, plans=(plan,)))
    play.now += 100.0
    [sent] = sends(play.ask(units=4.0))
    customer = customer_of(play)
    levels_before = customer.ceiling.slice.level, customer.ceiling.fleet_bucket.level
    play.end(sent, Outcome.SUPERSEDED, 0.0, finished=True)
    assert (customer.ceiling.slice.level, customer.ceiling.fleet_bucket.level) == (
        levels_before[0] + 4.0,
        levels_before[1] + 4.0,
    )
    play.end(sent, Outcome.SUPERSEDED, 0.0, finished=True)  # a repeated outcome is not refunded again
    assert customer.ceiling.slice.level == levels_before[0] + 4.0


def test_refunded_units_are_taken_off_the_unreported_use() -> None:
    play = Play(COUNTING)
    [sent] = sends(play.ask(units=3.0))
    customer = customer_of(play)
    assert customer.counted_use.unreported_units == 3.0
    play.end(sent, Outcome.SUPERSEDED, 0.0, finished=True)
    assert customer.counted_use.unreported_units == 0.0
    assert customer.estimate.level(play.now) == BASIC.burst
