"""The requests that cold backends received in each window of time, compared with their budget."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt

from scale.cold.job import ColdStartJob


@dataclass(frozen=True, slots=True)
class WindowUsage:
    """How much of their budgets the windows of all cold backends used.

    Each request to a cold backend begins a window.  Windows that end after the backend is warm are left out.
    """

    windows: int
    """The number of windows."""
    most: float
    """The highest ratio of the requests in a window to its budget."""
    mean: float
    """The mean of these ratios."""
    beyond_budget: int
    """Windows with more requests than their budget."""
    beyond_chance: int
    """Windows with more requests than random variation around the budget explains."""


def calculate_chance_limit(budget: float) -> float:
    """Return the highest number of requests in a window that random variation around its budget explains.

    The square root of the budget is the standard deviation of a Poisson distribution with that mean; the
    limit is two standard deviations and 2 requests above the budget.  More requests in a window
    are taken to overload the backend.
    """
    return budget + 2 * sqrt(budget) + 2


def calculate_window_budget(job: ColdStartJob, age: float) -> float:
    """Return the requests up to which a backend is not overloaded in the window beginning at its age (s)."""
    return job.fall_factor * job.capacity * job.calculate_capacity_share(age) * job.fall_s


def measure_window_usage(job: ColdStartJob, arrivals: Sequence[Sequence[float]]) -> WindowUsage:
    """Return the usage of all windows.

    `arrivals` holds, for each cold backend, its ages (s, ascending) at which requests arrived.
    """
    ratios: list[float] = []
    beyond_budget = beyond_chance = 0
    for ages in arrivals:
        for first_index, age in enumerate(ages):
            if age + job.fall_s > job.cold_s:
                break
            request_count = bisect_left(ages, age + job.fall_s) - first_index
            budget = calculate_window_budget(job, age)
            ratios.append(request_count / budget)
            beyond_budget += request_count > budget
            beyond_chance += request_count > calculate_chance_limit(budget)
    mean = sum(ratios) / len(ratios) if ratios else 0.0
    return WindowUsage(len(ratios), max(ratios, default=0.0), mean, beyond_budget, beyond_chance)
