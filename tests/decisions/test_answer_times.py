"""Tests of the mean answer times and of the expected work of a request."""

from __future__ import annotations

import pytest

from ingress.decisions.answer_times import AnswerTimes
from tests.support.gateway import IDEMPOTENT_CLASS, SETTINGS, GatewayHarness, find_sent_attempts


def test_expected_work_is_relative_to_the_mean_request() -> None:
    harness = GatewayHarness()
    answer_times = harness.gateway.answer_times
    answer_times.mean_by_class = {"read": 0.1, "order": 0.1, "pay": 0.4}
    assert find_sent_attempts(harness.deliver_request(request_class="pay"))
    assert answer_times.estimate_work(harness.gateway.requests["r1"]) == pytest.approx(2.0)


def test_mean_before_the_first_answer_is_a_fraction_of_the_objective() -> None:
    answer_times = AnswerTimes(SETTINGS)
    assert answer_times.get_mean(IDEMPOTENT_CLASS) == IDEMPOTENT_CLASS.latency_objective / 8
    answer_times.record_answer(IDEMPOTENT_CLASS, 0.5)
    assert answer_times.get_mean(IDEMPOTENT_CLASS) == 0.5


def test_answer_slower_than_the_objective_counts_as_the_objective() -> None:
    answer_times, capped_times = AnswerTimes(SETTINGS), AnswerTimes(SETTINGS)
    for recorder, latency in ((answer_times, 3.0), (capped_times, IDEMPOTENT_CLASS.latency_objective)):
        recorder.record_answer(IDEMPOTENT_CLASS, 0.1)
        recorder.record_answer(IDEMPOTENT_CLASS, latency)
    assert answer_times.get_mean(IDEMPOTENT_CLASS) == capped_times.get_mean(IDEMPOTENT_CLASS) > 0.1


def test_mean_is_at_least_the_resolution_of_the_clock() -> None:
    answer_times = AnswerTimes(SETTINGS)
    answer_times.record_answer(IDEMPOTENT_CLASS, 0.0)
    assert answer_times.get_mean(IDEMPOTENT_CLASS) == SETTINGS.tick
