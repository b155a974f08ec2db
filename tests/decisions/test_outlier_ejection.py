"""Tests of outlier ejection: what ejects a backend, and for how long."""

from __future__ import annotations

import pytest

from ingress.decisions.backend import TrackedBackend
from ingress.decisions.concurrency_limit import BUSY_LATENCY_SHARE
from ingress.decisions.outlier_ejection import FAILURES_TO_EJECT, OutlierEjection
from ingress.interface import Outcome
from tests.support.gateway import BACKENDS


def test_single_error_does_not_eject_a_backend() -> None:
    backend = TrackedBackend(BACKENDS[0], 100.0)
    backend.record_failure(100.0, Outcome.ERROR, 1.0)
    assert not backend.is_ejected(100.0)
    backend.record_failure(100.0, Outcome.CONNECT_FAILED, 1.0)
    assert backend.is_ejected(100.0)
    assert not backend.is_ejected(120.0)


def test_single_rejection_does_not_eject_a_quick_backend() -> None:
    backend = TrackedBackend(BACKENDS[0], 0.0)
    backend.concurrency_limit.mean_latency_share = BUSY_LATENCY_SHARE / 2
    backend.set_limit(8.0)
    backend.record_failure(1.0, Outcome.REJECTED, 1.0)
    assert backend.limit == 8.0
    assert not backend.is_ejected(1.0)
    backend.concurrency_limit.mean_latency_share = BUSY_LATENCY_SHARE * 2
    backend.record_failure(1.0, Outcome.REJECTED, 1.0)
    assert backend.limit < 8.0
    assert backend.is_ejected(1.0)


def test_pause_doubles_for_a_backend_that_rejects_all_requests() -> None:
    """Guard against sending many requests to a backend that rejects all of them.

    A backend that drains before the endpoint list says so rejects requests immediately and therefore looks
    idle.  Such a backend has received a third of all attempts.
    """
    backend = TrackedBackend(BACKENDS[0], 0.0)
    backend.concurrency_limit.mean_latency_share = BUSY_LATENCY_SHARE / 2
    pauses: list[float] = []
    now = 0.0
    for _ in range(7):
        backend.record_failure(now, Outcome.REJECTED, 1.0)
        pauses.append(backend.ejection.ejected_until - now if backend.is_ejected(now) else 0.0)
        now = max(now, backend.ejection.ejected_until) + 0.01
    assert pauses[0] == 0.0
    assert pauses[1:] == pytest.approx([0.5, 1.0, 2.0, 4.0, 8.0, 8.0])
    backend.record_answer(now, 0.05, 0.05, 1.0)
    backend.record_failure(now, Outcome.REJECTED, 1.0)
    assert not backend.is_ejected(now)


def test_pause_doubles_with_each_failure_up_to_a_maximum() -> None:
    ejection = OutlierEjection(ejected_until=0.0)
    pauses = []
    for _ in range(FAILURES_TO_EJECT + 6):
        ejection.record_failure(10.0, Outcome.ERROR, 1.0)
        pauses.append(ejection.ejected_until - 10.0 if ejection.is_ejected(10.0, False) else 0.0)
    assert pauses == [0.0, 0.0, 0.5, 1.0, 2.0, 4.0, 8.0, 8.0, 8.0]


def test_one_attempt_at_a_time_probes_the_backend_after_the_pause() -> None:
    ejection = OutlierEjection(ejected_until=0.0)
    ejection.record_failure(10.0, Outcome.CONNECT_FAILED, 1.0)
    assert ejection.is_ejected(10.4, has_attempts_in_flight=False)
    assert not ejection.is_ejected(10.5, has_attempts_in_flight=False)
    assert ejection.is_ejected(10.5, has_attempts_in_flight=True)
    ejection.clear_failures()
    assert not ejection.is_ejected(10.5, has_attempts_in_flight=True)


def test_next_failure_ejects_a_suspect_backend() -> None:
    ejection = OutlierEjection(ejected_until=0.0)
    ejection.mark_suspect()
    assert not ejection.is_ejected(10.0, has_attempts_in_flight=True)
    ejection.record_failure(10.0, Outcome.TIMEOUT, 1.0)
    assert ejection.is_ejected(10.0, has_attempts_in_flight=False)
