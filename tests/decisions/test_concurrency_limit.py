"""Tests of a backend's concurrency limit: its initial value, increases and decreases."""

from __future__ import annotations

import pytest

from ingress.decisions.concurrency_limit import BUSY_LATENCY_SHARE, DECREASE_FACTOR, ConcurrencyLimit
from ingress.interface import Outcome
from tests.support.balancer import UNLIMITED_SETTINGS, count_attempts_by_backend
from tests.support.gateway import BACKENDS, GatewayHarness, find_sent_attempts


def test_new_gateway_sends_few_attempts_until_backends_answer() -> None:
    harness = GatewayHarness(UNLIMITED_SETTINGS)
    for _ in range(100):
        harness.deliver_request(0.0)
    assert len(find_sent_attempts(harness.actions)) <= len(BACKENDS)
    for sent in find_sent_attempts(list(harness.actions)):
        harness.end_attempt(sent, Outcome.OK, 0.01)
    assert (
        len(find_sent_attempts([a for _ in range(100) for a in harness.deliver_request(0.0)]))
        > len(BACKENDS) / 2
    )


def test_limit_decreases_if_no_answers_come() -> None:
    harness = GatewayHarness(UNLIMITED_SETTINGS)
    count_attempts_by_backend(harness, 0.05)
    for backend in harness.gateway.balancer.tracked_backends.values():
        backend.set_limit(20.0)
    for _ in range(40):
        harness.deliver_request(0.0)
    initial_limit_sum = sum(b.limit for b in harness.gateway.balancer.tracked_backends.values())
    for _ in range(20):
        harness.deliver_request(0.5)
    assert sum(b.limit for b in harness.gateway.balancer.tracked_backends.values()) < initial_limit_sum / 2


def test_lost_attempt_does_not_decrease_the_limit_while_others_are_answered() -> None:
    harness = GatewayHarness(UNLIMITED_SETTINGS, BACKENDS[:1])
    [backend] = harness.gateway.balancer.tracked_backends.values()
    count_attempts_by_backend(harness, 0.05, 30)
    [lost_attempt] = find_sent_attempts(harness.deliver_request())
    backend.set_limit(10.0)
    for _ in range(20):  # 4 s: longer than any latency objective
        [sent] = find_sent_attempts(harness.deliver_request(0.2))
        harness.end_attempt(sent, Outcome.OK, 0.05)
    assert backend.limit >= 10.0
    assert harness.gateway.overload_detector.shed_share(harness.now) < 0
    harness.end_attempt(lost_attempt, Outcome.TIMEOUT, 0.0)
    assert backend.limit >= 10.0
    assert backend.concurrency_limit.mean_latency_share < BUSY_LATENCY_SHARE


def test_timeout_without_any_answer_since_decreases_the_limit() -> None:
    harness = GatewayHarness(UNLIMITED_SETTINGS, BACKENDS[:1])
    [backend] = harness.gateway.balancer.tracked_backends.values()
    count_attempts_by_backend(harness, 0.05, 30)
    [lost_attempt] = find_sent_attempts(harness.deliver_request())
    backend.set_limit(10.0)
    harness.end_attempt(lost_attempt, Outcome.TIMEOUT, 4.0)
    assert backend.limit < 10.0
    assert backend.concurrency_limit.mean_latency_share > BUSY_LATENCY_SHARE


QUICK_LATENCY_S = BUSY_LATENCY_SHARE / 2  # for a latency objective of 1 s


def test_quick_answer_raises_the_limit_by_one_until_the_first_decrease() -> None:
    limit = ConcurrencyLimit(decreased_at=0.0)
    assert limit.record_answer(1.0, QUICK_LATENCY_S, 1.0, in_flight=0) == 1.0
    assert limit.limit == 2.0
    limit.set_limit(8.0)
    limit.was_decreased = True
    assert limit.record_answer(1.0, QUICK_LATENCY_S, 1.0, in_flight=7) == pytest.approx(1 / 8)


def test_quick_answer_does_not_raise_a_limit_that_is_hardly_used() -> None:
    limit = ConcurrencyLimit(decreased_at=0.0, limit=8.0)
    assert limit.record_answer(1.0, QUICK_LATENCY_S, 1.0, in_flight=1) == 0.0
    assert limit.record_answer(1.0, QUICK_LATENCY_S, 1.0, in_flight=2) == 1.0


def test_limit_decreases_from_the_number_in_flight_at_most_once_per_interval() -> None:
    limit = ConcurrencyLimit(decreased_at=0.0, limit=100.0)
    assert limit.decrease(0.4, min_interval=0.5, in_flight=9) == 0.0
    assert limit.decrease(0.5, min_interval=0.5, in_flight=9) == pytest.approx(10 * DECREASE_FACTOR - 100)
    assert limit.decrease(0.9, min_interval=0.5, in_flight=9) == 0.0
    assert limit.decrease(1.0, min_interval=0.5, in_flight=0) == pytest.approx(1 - 10 * DECREASE_FACTOR)
    assert limit.limit == 1.0
