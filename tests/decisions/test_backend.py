"""Tests of a tracked backend: load score, silence, and its share of the totals."""

from __future__ import annotations

import pytest

from ingress.decisions.backend import (
    CROSS_ZONE_FACTOR,
    MIN_RELATIVE_LATENCY,
    RELATIVE_LATENCY_HALF_LIFE,
    LoadTotals,
    TrackedBackend,
)
from ingress.interface import Backend, Outcome

NOW = 100.0
LONGEST_OBJECTIVE = 1.0


def compute_score(backend: TrackedBackend, now: float = NOW, zone: str = "a") -> float:
    """Return the load score for a mean answer time of 0.1 s and a tie-break of 1."""
    return backend.compute_load_score(now, 0.1, LONGEST_OBJECTIVE, zone, 1.0)


def test_score_of_an_idle_backend_is_the_tie_break_divided_by_its_weight() -> None:
    assert compute_score(TrackedBackend(Backend("b", "a", weight=1.0), NOW)) == 1.0
    assert compute_score(TrackedBackend(Backend("b", "a", weight=4.0), NOW)) == 0.25


def test_score_is_slightly_higher_for_a_backend_of_another_zone() -> None:
    backend = TrackedBackend(Backend("b", "a"), NOW)
    assert compute_score(backend, zone="c") == pytest.approx(CROSS_ZONE_FACTOR * compute_score(backend))


def test_score_grows_with_attempts_in_flight_and_with_silence() -> None:
    backend = TrackedBackend(Backend("b", "a"), NOW)
    backend.attempts_in_flight["r", 0] = NOW
    assert compute_score(backend) == 2.0
    assert backend.get_silence_duration(NOW + 0.6) == pytest.approx(0.6)
    # 0.6 s are 6 mean answer times, which are divided by SILENCE_PER_RELATIVE_LATENCY.
    assert compute_score(backend, NOW + 0.6) == pytest.approx(2.0 * 2.0)


def test_silence_starts_at_the_last_answer_or_the_oldest_attempt() -> None:
    backend = TrackedBackend(Backend("b"), NOW)
    assert backend.get_silence_duration(NOW + 9.0) == 0.0
    backend.attempts_in_flight["r", 0] = NOW + 2.0
    backend.attempts_in_flight["r", 1] = NOW + 5.0
    assert backend.get_silence_duration(NOW + 9.0) == pytest.approx(7.0)
    backend.record_answer(NOW + 6.0, 0.1, 0.1, 1.0)
    assert backend.get_silence_duration(NOW + 9.0) == pytest.approx(3.0)


def test_effect_of_an_old_latency_is_halved_after_its_half_life() -> None:
    backend = TrackedBackend(Backend("b", "a"), NOW)
    backend.relative_latency = 3.0
    assert compute_score(backend) == pytest.approx(3.0)
    assert compute_score(backend, NOW + RELATIVE_LATENCY_HALF_LIFE * LONGEST_OBJECTIVE) == pytest.approx(2.0)
    backend.relative_latency = 0.0
    assert compute_score(backend) == pytest.approx(MIN_RELATIVE_LATENCY)


def test_totals_include_a_backend_while_it_is_a_candidate() -> None:
    totals = LoadTotals()
    backend = TrackedBackend(Backend("b"), NOW, totals=totals)
    backend.set_limit(4.0)
    backend.attempts_in_flight["r", 0] = NOW
    assert totals == LoadTotals(0, 0.0)
    backend.set_candidate(True)
    assert totals == LoadTotals(1, 4.0)
    backend.set_limit(6.0)
    assert totals == LoadTotals(1, 6.0)
    backend.set_candidate(False)
    assert totals == LoadTotals(0, 0.0)


def test_restart_resets_failures_latency_and_limit() -> None:
    totals = LoadTotals()
    backend = TrackedBackend(Backend("b"), NOW, totals=totals)
    backend.set_candidate(True)
    backend.set_limit(6.0)
    backend.relative_latency = 3.0
    backend.record_failure(NOW, Outcome.CONNECT_FAILED, LONGEST_OBJECTIVE)
    assert backend.is_ejected(NOW)
    backend.reset_for_restart(NOW, 0.5)
    assert not backend.is_ejected(NOW)
    assert backend.relative_latency == 1.0
    assert backend.slow_start_budget.level == 0.5
    assert backend.limit == totals.limit == 1.0
