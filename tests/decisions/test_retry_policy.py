"""The retry budget, and the timeouts of attempts."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from ingress.decisions.retry_policy import MAX_SAVED_RETRIES, RETRIES_PER_REQUEST
from ingress.interface import Outcome, Settings
from tests.support.balancer import UNLIMITED_SETTINGS, count_attempts_by_backend
from tests.support.gateway import NOT_IDEMPOTENT_CLASS, GatewayHarness, find_sent_attempts


def first_attempt_timeout(settings: Settings, budget: float, **changes: Any) -> float:
    harness = GatewayHarness(settings)
    harness.gateway.retry_policy.budget.level = budget
    [sent] = find_sent_attempts(harness.deliver_request(**changes))
    return sent.timeout


def test_first_attempts_refill_the_budget_up_to_its_capacity() -> None:
    policy = GatewayHarness().gateway.retry_policy
    initial_level = policy.budget.level
    policy.record_first_attempt()
    assert policy.budget.level == initial_level + RETRIES_PER_REQUEST
    for _ in range(200):
        policy.record_first_attempt()
    assert policy.budget.level == MAX_SAVED_RETRIES


def test_retry_uses_budget_unless_the_previous_attempt_was_not_executed() -> None:
    policy = GatewayHarness().gateway.retry_policy
    policy.record_retry(proves_not_executed=True)
    assert policy.budget.level == 1.0
    policy.record_retry(proves_not_executed=False)
    assert policy.budget.level == 0.0


def test_attempt_times_out_early_if_a_retry_may_follow() -> None:
    # The timeout is 8 mean answer times; before the first answer, the mean is assumed to be 1/8 of the
    # latency objective.
    assert first_attempt_timeout(UNLIMITED_SETTINGS, 5.0) == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("settings", "budget", "request_class"),
    [
        (UNLIMITED_SETTINGS, 0.0, "read"),
        (replace(UNLIMITED_SETTINGS, max_attempts=1), 5.0, "read"),
        (UNLIMITED_SETTINGS, 5.0, NOT_IDEMPOTENT_CLASS.name),
    ],
    ids=["no budget", "no further attempt", "not idempotent"],
)
def test_attempt_may_last_until_the_deadline_if_no_retry_may_follow(
    settings: Settings, budget: float, request_class: str
) -> None:
    timeout = first_attempt_timeout(settings, budget, request_class=request_class)
    assert timeout == pytest.approx(4.0)


def test_attempt_far_slower_than_the_mean_is_retried_on_another_backend() -> None:
    for class_name, may_retry in (("read", True), ("order", True), ("pay", False)):
        harness = GatewayHarness(UNLIMITED_SETTINGS)
        count_attempts_by_backend(harness, 0.05, 60)
        harness.gateway.retry_policy.budget.level = 5.0
        [lost] = find_sent_attempts(harness.deliver_request(request_class=class_name))
        assert (lost.timeout < 1.1) is may_retry  # a request that is not idempotent gets no other attempt
        actions = harness.end_attempt(lost, Outcome.TIMEOUT, lost.timeout)
        assert [s.backend != lost.backend for s in find_sent_attempts(actions)] == [True] * may_retry


@pytest.mark.parametrize(
    ("outcome", "is_retried"),
    [
        (Outcome.REJECTED, True),
        (Outcome.CONNECT_FAILED, True),
        (Outcome.ERROR, False),
        (Outcome.RESET, False),
    ],
)
def test_attempt_that_was_not_executed_is_retried_without_budget(outcome: Outcome, is_retried: bool) -> None:
    harness = GatewayHarness(UNLIMITED_SETTINGS)
    count_attempts_by_backend(harness, 0.05, 60)
    harness.gateway.retry_policy.budget.level = 0.5
    [sent] = find_sent_attempts(harness.deliver_request())
    assert bool(find_sent_attempts(harness.end_attempt(sent, outcome, 0.001))) is is_retried
    assert harness.gateway.retry_policy.budget.level < 1.0
