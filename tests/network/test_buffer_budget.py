"""Tests of a buffer budget: when it counts as half used and as exceeded."""

from __future__ import annotations

import pytest

from ingress.network.buffer_budget import BufferBudget


@pytest.mark.parametrize(
    ("used_bytes", "is_half_used", "is_exceeded"),
    [(0, False, False), (50, False, False), (51, True, False), (100, True, False), (101, True, True)],
)
def test_budget_is_half_used_or_exceeded_only_above_its_limits(
    used_bytes: int, is_half_used: bool, is_exceeded: bool
) -> None:
    budget = BufferBudget(max_bytes=100, used_bytes=used_bytes)
    assert budget.is_half_used() is is_half_used
    assert budget.is_exceeded() is is_exceeded
