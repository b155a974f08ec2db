"""Tests of the short texts in the tables of the page."""

from __future__ import annotations

import pytest

from scale.report.fits import Growth, Line, PowerLaw
from scale.report.tables import describe_growth


@pytest.mark.parametrize(("exponent", "text"), [(-0.004, "0.00"), (0.004, "0.00"), (-0.006, "-0.01")])
def test_exponent_that_is_rounded_to_zero_has_no_sign(exponent: float, text: str) -> None:
    """Guards against pages that differ by processor: the sign of such an exponent is a rounding error."""
    growth = Growth((1.0, 2.0), (1.0, 1.0), Line(1.0, 0.0, 1.0), PowerLaw(1.0, exponent, 1.0), "power")
    assert describe_growth(growth) == f"n^{text}, r² 1.00"
