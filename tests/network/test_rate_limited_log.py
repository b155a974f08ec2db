"""Tests of the rate-limited log: it logs each of the first faults and only some of the later ones."""

from __future__ import annotations

import logging

import pytest

from ingress.network.rate_limited_log import RateLimitedLog


def test_first_faults_and_every_nth_later_one_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    log = RateLimitedLog(logging.getLogger("test"), first_count=2, sample_interval=5)
    with caplog.at_level(logging.WARNING):
        for number in range(1, 12):
            log.warning("fault number=%d", number)
    assert [record.getMessage() for record in caplog.records] == [
        f"fault number={number} count={number}" for number in (1, 2, 5, 10)
    ]
    assert log.count == 11
