"""Tests of the figures' marks, ranges and rounding."""

from __future__ import annotations

from operator import add

import pytest

from scale.report.figures import MISSING, Figure, Mark, combine, computed_figure, format_number


def test_combined_figure_takes_least_reliable_mark() -> None:
    extrapolated = Figure(Mark.EXTRAPOLATED, 2, 1, 3, ("a.json",))
    assert combine(add, computed_figure(1), extrapolated) == Figure(Mark.EXTRAPOLATED, 3, 2, 4, ("a.json",))
    assert combine(add, extrapolated, MISSING) == MISSING
    assert extrapolated.map(lambda value: 6 / value) == Figure(Mark.EXTRAPOLATED, 3, 2, 6, ("a.json",))
    assert extrapolated.format("ms") == "2 ms (1 to 3)"
    assert MISSING.format("ms") == "not measured"


@pytest.mark.parametrize(
    ("value", "expected_text"),
    [
        (0, "0"),
        (0.01934, "0.019"),
        (0.00005, "0.00005"),
        (0.996109, "0.9961"),
        (0.95, "0.95"),
        (1.26, "1.3"),
        (2.0, "2"),
        (1234, "1,200"),
        (26_400_000, "26 million"),
        (1.44e12, "1.4 trillion"),
        (999_999, "1 million"),
        (9.99, "10"),
    ],
)
def test_numbers_are_formatted_with_two_significant_digits(value: float, expected_text: str) -> None:
    assert format_number(value) == expected_text
