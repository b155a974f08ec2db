"""Fit a measured cost over a size by a power law and by a straight line, and extrapolate both."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal

import numpy as np
from numpy.typing import NDArray

MIN_FIT_SIZES = 3  # different sizes that a fit needs
# Exponent, or relative change over all measured sizes, up to which a cost counts as constant: rounding alone
# causes changes this small.
FLAT_GROWTH = 1e-3
# Natural logarithm of the largest size that is reported: a nearly flat power law reaches a cost only at sizes
# that no fleet has.
MAX_LOG_SIZE = math.log(1e15)

Floats = NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class PowerLaw:
    """The fit cost = factor * size ** exponent; `r2` is computed on the logarithms."""

    factor: float
    exponent: float
    r2: float

    def cost_at(self, size: float) -> float:
        """Return the cost at a size."""
        return float(self.factor * size**self.exponent)

    def size_for(self, cost: float) -> float | None:
        """Return the size at which the cost is `cost`.

        Return None if the cost does not grow, or if the size is larger than any realistic one.
        """
        if self.exponent <= FLAT_GROWTH or cost <= 0:
            return None
        log_size = math.log(cost / self.factor) / self.exponent
        return math.exp(log_size) if log_size < MAX_LOG_SIZE else None


@dataclass(frozen=True, slots=True)
class Line:
    """The fit cost = base + slope * size."""

    base: float
    slope: float
    r2: float

    def cost_at(self, size: float) -> float:
        """Return the cost at a size, at least 0."""
        return max(0.0, self.base + self.slope * size)

    def size_for(self, cost: float) -> float | None:
        """Return the size above 0 at which the cost is `cost`; None if there is none or costs do not grow."""
        if self.slope <= 0 or cost <= self.base:
            return None
        return (cost - self.base) / self.slope


@dataclass(frozen=True, slots=True)
class Growth:
    """Both fits of one measure over one dimension, with the points that were fitted."""

    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    line: Line
    power: PowerLaw | None  # None if a size or a cost is not above 0
    better_kind: Literal["line", "power"]

    @property
    def better_fit(self) -> Line | PowerLaw:
        """Return the fit with the smaller error over the upper half of the sizes."""
        return self.power if self.better_kind == "power" and self.power is not None else self.line

    @property
    def is_growing(self) -> bool:
        """Return whether the line rises over all measured sizes by more than FLAT_GROWTH of the top cost."""
        return self.line.slope * (self.sizes[-1] - self.sizes[0]) > FLAT_GROWTH * max(self.costs)

    @property
    def is_varying(self) -> bool:
        """Return whether the measured costs differ by more than the share FLAT_GROWTH of the highest."""
        return max(self.costs) - min(self.costs) > FLAT_GROWTH * max(map(abs, self.costs))

    def estimate(self, size: float) -> Estimate:
        """Estimate the cost at a size.

        Interpolate between the measured points if the size lies among them, and extrapolate by the fits
        otherwise.  A falling line would become negative, so it is not extrapolated below the lowest measured
        cost.
        """
        if self.sizes[0] <= size <= self.sizes[-1]:
            cost = float(np.interp(size, self.sizes, self.costs))
            return Estimate(cost, cost, cost, measured=True)
        costs = {fit: self._cost_by_fit(fit, size) for fit in (self.line, self.power) if fit is not None}
        return Estimate(min(costs.values()), costs[self.better_fit], max(costs.values()), measured=False)

    def fitted_cost(self, size: float) -> float:
        """Return the cost at a size by the better fit alone."""
        return self._cost_by_fit(self.better_fit, size)

    def _cost_by_fit(self, fit: Line | PowerLaw, size: float) -> float:
        """Return the cost at a size by one fit; a falling line gives at least the lowest measured cost."""
        is_falling = isinstance(fit, Line) and fit.slope < 0
        return max(fit.cost_at(size), min(self.costs)) if is_falling else fit.cost_at(size)

    def size_for(self, cost: float) -> Estimate | None:
        """Estimate the size at which the cost exceeds the limit `cost`; None if it never does."""
        crossing = self._find_measured_crossing(cost)
        if crossing is not None:
            return crossing
        if not self.is_growing:
            return None
        fitted_sizes = [fit.size_for(cost) for fit in (self.line, self.power) if fit is not None]
        sizes_beyond = [size for size in fitted_sizes if size is not None and size > self.sizes[-1]]
        chosen_size = self.better_fit.size_for(cost)
        if chosen_size is None or chosen_size <= self.sizes[-1]:
            chosen_size = sizes_beyond[0] if sizes_beyond else None
        if chosen_size is None:
            return None
        return Estimate(min(sizes_beyond), chosen_size, max(sizes_beyond), measured=False)

    def _find_measured_crossing(self, limit: float) -> Estimate | None:
        """Return the size within the measured range from which on the cost stays above `limit`, if any.

        If all measured costs are above the limit, the size lies between 0 and the smallest measured size.
        """
        if self.costs[-1] <= limit:
            return None
        last_below = max((index for index, cost in enumerate(self.costs) if cost <= limit), default=None)
        if last_below is None:
            return Estimate(0.0, self.sizes[0], self.sizes[0], measured=True)
        size = float(
            np.interp(limit, self.costs[last_below : last_below + 2], self.sizes[last_below : last_below + 2])
        )
        return Estimate(size, size, size, measured=True)


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value with the range that the two fits span."""

    low: float
    value: float
    high: float
    measured: bool


def _r_squared(measured: Floats, fitted: Floats) -> float:
    """Return the share of the variance that a fit explains; 1 if the measured values do not vary."""
    total = float(np.sum((measured - np.mean(measured)) ** 2))
    return 1.0 if total == 0 else 1.0 - float(np.sum((measured - fitted) ** 2)) / total


def _fit_line(sizes: Floats, costs: Floats) -> Line:
    """Fit a straight line by least squares."""
    slope, base = np.polyfit(sizes, costs, 1)
    return Line(float(base), float(slope), _r_squared(costs, base + slope * sizes))


def _fit_power(sizes: Floats, costs: Floats) -> PowerLaw | None:
    """Fit a power law by least squares on the logarithms; None if a size or a cost is not above 0."""
    if np.any(sizes <= 0) or np.any(costs <= 0):
        return None
    exponent, offset = np.polyfit(np.log(sizes), np.log(costs), 1)
    fitted = offset + exponent * np.log(sizes)
    return PowerLaw(float(np.exp(offset)), float(exponent), _r_squared(np.log(costs), fitted))


def _mean_square_relative_error(fit: Line | PowerLaw, sizes: Floats, costs: Floats) -> float:
    """Return the mean square of a fit's relative error."""
    return float(
        np.mean(
            [
                ((fit.cost_at(size) - cost) / max(abs(cost), 1e-12)) ** 2
                for size, cost in zip(sizes, costs, strict=True)
            ]
        )
    )


def fit_growth(points: list[tuple[float, float]]) -> Growth | None:
    """Fit (size, cost) pairs; None if there are fewer than MIN_FIT_SIZES different sizes.

    Costs that were measured at the same size are averaged first.
    """
    by_size: dict[float, list[float]] = {}
    for size, cost in points:
        by_size.setdefault(size, []).append(cost)
    if len(by_size) < MIN_FIT_SIZES:
        return None
    sizes = np.array(sorted(by_size), dtype=np.float64)
    costs = np.array([np.mean(by_size[size]) for size in sizes], dtype=np.float64)
    line, power = _fit_line(sizes, costs), _fit_power(sizes, costs)
    upper_half = slice(len(sizes) // 2, None)
    better_kind: Literal["line", "power"] = "line"
    if power is not None and _mean_square_relative_error(
        power, sizes[upper_half], costs[upper_half]
    ) <= _mean_square_relative_error(line, sizes[upper_half], costs[upper_half]):
        better_kind = "power"
    return Growth(tuple(map(float, sizes)), tuple(map(float, costs)), line, power, better_kind)
