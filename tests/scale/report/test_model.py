"""Tests of the arithmetic of the capacity page."""

from __future__ import annotations

import pytest

from scale.report import model


def test_subset_sizes_and_coverage() -> None:
    assert model.fixed_subset(12, 5) == 5
    assert model.scaled_subset(12, 2, backends=1000, ingresses=10) == 200
    assert model.scaled_subset(12, 2, backends=60, ingresses=40) == 12
    assert model.ingresses_per_backend(200, backends=1000, ingresses=10) == 2
    assert model.covered_share(12, backends=1000, ingresses=10) == pytest.approx(0.12)
    assert model.covered_share(200, backends=1000, ingresses=10) == 1
    assert model.covered_backends(12, ingresses=10) == 120


def test_rates_and_core_shares() -> None:
    assert model.attempts_in_flight(100, 0.2) == pytest.approx(20)
    assert model.core_share(100, 50) == pytest.approx(0.005)
    assert model.allowed_cpu_us(0.01, 100) == pytest.approx(100)
    assert model.list_changes_per_day(restarts=100, failures=10) == 320
    assert model.zone_changes_per_s(600) == 10
    assert model.watch_calls_per_s(10, wait_ms=2000) == 5
    assert model.watch_calls_per_s(10, wait_ms=2000, changes_per_s=3) == 30
    assert model.restarts_in_release(600, 0.1) == 1
    assert model.complete_lists_bytes_per_s(2, 1000, 4) == 500


def test_counter_and_lease_rates() -> None:
    assert model.counter_calls_per_s(1000, 0.25) == 250
    assert model.shards_needed(250, 100) == 3
    assert model.shards_needed(0, 100) == 1
    assert model.max_requests_per_s(500, 0.25) == 2000
    assert model.lease_renewals_per_s(100, busy_share=0.5, busy_term_s=2, calm_term_s=20) == pytest.approx(55)
    assert model.batches_per_s(10, 5, 0.5) == 100
    assert model.call_time_ms(1, 1.5) == 4
    assert model.colliding_pairs(2, bits=1) == 0.5
