"""Tests of the clock: it returns Unix time and does not jump."""

from __future__ import annotations

import time

import pytest

from ingress.network.clock import unix_clock


def test_clock_returns_unix_time_and_ignores_changes_of_the_system_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = unix_clock()
    assert abs(clock() - time.time()) < 5.0
    before = clock()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert before <= clock() < before + 5.0
