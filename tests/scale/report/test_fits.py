"""Tests of the fits of a cost over a size, and of the sizes at which a cost exceeds a limit."""

from __future__ import annotations

import pytest

from scale.report.fits import Growth, Line, PowerLaw, fit_growth
from tests.scale.report.saved_sweeps import SIZES


def fit_costs(costs: list[float]) -> Growth:
    growth = fit_growth(list(zip(SIZES, costs, strict=True)))
    assert growth is not None
    return growth


def test_power_law_is_fitted() -> None:
    growth = fit_costs([3 * size**1.5 for size in SIZES])
    assert isinstance(growth.better_fit, PowerLaw)
    assert growth.better_fit.exponent == pytest.approx(1.5)
    assert growth.better_fit.factor == pytest.approx(3)
    assert growth.better_fit.r2 == pytest.approx(1)


def test_line_with_base_is_fitted_and_is_high_end_of_estimate() -> None:
    growth = fit_costs([200 + 2 * size for size in SIZES])
    assert isinstance(growth.better_fit, Line)
    assert growth.power is not None
    estimate = growth.estimate(100_000)
    assert not estimate.measured
    assert estimate.value == pytest.approx(200_200)
    assert estimate.low == pytest.approx(growth.power.cost_at(100_000))
    assert estimate.low < estimate.value == estimate.high


def test_size_within_measured_range_is_interpolated() -> None:
    estimate = fit_costs([10 * size for size in SIZES]).estimate(75)
    assert estimate.measured
    assert estimate.value == pytest.approx(750)


def test_cost_of_zero_excludes_power_law() -> None:
    growth = fit_costs([0.0, 1.0, 2.0, 3.0, 4.0])
    assert growth.power is None
    assert isinstance(growth.better_fit, Line)


def test_falling_line_is_not_extrapolated_below_lowest_measured_cost() -> None:
    assert fit_costs([9.0, 8.0, 7.0, 6.0, 5.0]).estimate(1e6).high == 5


def test_two_different_sizes_are_not_fitted() -> None:
    assert fit_growth([(1, 1), (1, 2), (2, 3)]) is None


@pytest.mark.parametrize(
    ("limit", "expected_size", "is_measured"), [(5_000, 500, True), (50_000, 5_000, False)]
)
def test_size_at_limit_is_interpolated_or_extrapolated(
    limit: float, expected_size: float, is_measured: bool
) -> None:
    estimate = fit_costs([10 * size for size in SIZES]).size_for(limit)
    assert estimate is not None
    assert estimate.value == pytest.approx(expected_size)
    assert estimate.measured is is_measured


def test_cost_always_above_limit_reaches_it_at_smallest_measured_size() -> None:
    estimate = fit_costs([10 * size for size in SIZES]).size_for(1)
    assert estimate is not None
    assert estimate.value == SIZES[0]


@pytest.mark.parametrize("costs", [[7.0] * 5, [9.0, 8.0, 7.0, 6.0, 5.0]])
def test_cost_that_does_not_grow_never_reaches_limit(costs: list[float]) -> None:
    assert fit_costs(costs).size_for(100) is None


def test_nearly_flat_power_law_has_no_size_for_high_cost() -> None:
    assert PowerLaw(factor=150.0, exponent=0.0015, r2=0.1).size_for(2400.0) is None
    assert PowerLaw(factor=2.0, exponent=0.5, r2=1.0).size_for(20.0) == pytest.approx(100.0)
