"""Overload detection from the utilization of the limits and from the time that attempts stay in flight."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.decisions.backend import LoadTotals
from ingress.decisions.overload import OverloadDetector
from ingress.interface import Backend, Outcome
from tests.support.gateway import BASIC_PLAN, IDEMPOTENT_CLASS, SETTINGS, GatewayHarness, find_sent_attempts


def test_all_requests_are_shed_without_a_backend() -> None:
    assert OverloadDetector(LoadTotals()).shed_share(100.0) == 1.0


def test_shed_share_grows_with_the_utilization_of_the_limits() -> None:
    shares = [
        OverloadDetector(LoadTotals(attempts_in_flight=attempt_count, limit=100.0)).shed_share(100.0)
        for attempt_count in (0, 50, 60, 80, 100)
    ]
    assert shares == sorted(shares)
    assert shares[1] < 0 < shares[2]
    assert shares[4] == pytest.approx(1.0)


def test_attempts_that_stay_in_flight_cause_shedding_before_an_answer_comes() -> None:
    detector = OverloadDetector(LoadTotals(attempts_in_flight=0, limit=1e6))
    for index in range(100):
        detector.record_attempt_start(100.0 + index / 10, (f"r{index}", 0), IDEMPOTENT_CLASS)
    assert detector.shed_share(110.0) > 0


def test_attempts_that_end_soon_cause_no_shedding() -> None:
    detector = OverloadDetector(LoadTotals(attempts_in_flight=0, limit=1e6))
    for index in range(100):
        detector.record_attempt_start(100.0 + index / 10, (f"r{index}", 0), IDEMPOTENT_CLASS)
        detector.record_attempt_end(100.05 + index / 10, (f"r{index}", 0))
    assert detector.shed_share(110.0) < 0
    assert detector.in_flight_weight == 0.0


def test_lost_attempt_counts_for_a_limited_time_and_may_still_end() -> None:
    detector = OverloadDetector(LoadTotals(attempts_in_flight=0, limit=1e6))
    detector.record_attempt_start(100.0, ("r", 0), IDEMPOTENT_CLASS)
    assert detector.in_flight_weight == 1 / IDEMPOTENT_CLASS.latency_objective
    detector.update_mean_time_in_flight(100.0 + IDEMPOTENT_CLASS.latency_objective)
    assert detector.in_flight_weight == 0.0
    detector.record_attempt_end(102.0, ("r", 0))
    assert detector.in_flight_weight == 0.0


def test_another_attempt_may_explore_after_the_exploratory_attempt_ended() -> None:
    detector = OverloadDetector(LoadTotals())
    detector.exploratory_attempt = ("r", 0)
    detector.record_attempt_end(100.0, ("other", 0))
    assert detector.exploratory_attempt == ("r", 0)
    detector.record_attempt_end(100.0, ("r", 0))
    assert detector.exploratory_attempt is None


def test_gateway_without_answers_sheds_requests_and_sends_again_later() -> None:
    harness = GatewayHarness(
        replace(SETTINGS, instance_count=300, plans=(replace(BASIC_PLAN, rate=1e4, burst=1e5),)),
        (Backend(f"b{n}") for n in range(80)),
    )
    sent_count = sum(len(find_sent_attempts(harness.deliver_request(0.3))) for _ in range(40))
    # No backend has two attempts, but none was answered, so the time in flight shows the overload.
    assert sent_count < 35
    harness.now += 30.0
    assert find_sent_attempts(harness.deliver_request())


def test_few_backends_that_never_answer_cause_no_shedding() -> None:
    harness = GatewayHarness(
        replace(SETTINGS, instance_count=300, plans=(replace(BASIC_PLAN, rate=1e4, burst=1e5),)),
        (Backend(f"b{n}") for n in range(80)),
    )
    sent_count = 0
    for _ in range(200):
        for sent in find_sent_attempts(harness.deliver_request(0.2)):
            sent_count += 1
            if int(sent.backend[1:]) >= 8:
                harness.end_attempt(sent, Outcome.OK, 0.1)
    assert sent_count > 180
