"""The estimate of what is left of a customer's complete quota."""

from __future__ import annotations

import pytest

from ingress.decisions.quota_estimate import QuotaEstimate
from tests.support.gateway import BASIC_PLAN


def test_idle_time_refills_the_quota_when_peer_use_is_reported_late() -> None:
    estimate = QuotaEstimate(BASIC_PLAN, 100.0, False)  # rate 2, burst 8
    estimate.record_total(100.0, 8.0, 0.0, 100.0)
    estimate.record_peer_use(130.0, 10.0)  # 10 units were used in 30 s, in which the quota refilled by 60
    assert estimate.level(130.0) == pytest.approx(8.0)
