"""The part of a client's waiting time that the decision module may use."""

from __future__ import annotations

import pytest

from ingress.process.deadlines import DECISION_MARGIN_S, decision_time


@pytest.mark.parametrize(
    ("waiting_time_s", "expected_s"), [(4.0, 3.98), (0.2, 0.18), (0.1, 0.09), (0.0, 0.0)]
)
def test_margin_is_constant_and_at_most_a_tenth_of_the_waiting_time(
    waiting_time_s: float, expected_s: float
) -> None:
    assert decision_time(waiting_time_s) == pytest.approx(expected_s)


def test_margin_of_a_long_waiting_time_is_exact() -> None:
    assert decision_time(10.0) == 10.0 - DECISION_MARGIN_S
