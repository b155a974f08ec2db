"""Functions that several passes use: percentiles, limits on CPU time, and the warm-up."""

from __future__ import annotations

import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from scale.slopes.simulation import Simulation

Measures = dict[str, float]

NANOSECONDS_PER_US = 1e3
NANOSECONDS_PER_MS = 1e6
MEBIBYTE = 2**20  # bytes
MIN_SAMPLES = 5  # minimum of measured requests or changes, even if the CPU budget is used up
MAX_COST_NS = 10**12  # upper limit of the histogram
SIGNIFICANT_DIGITS = 3  # resolution of the histogram


def calculate_percentile(costs: list[int], percentile: float) -> float:
    """Return a percentile (0 to 100) of costs in nanoseconds."""
    histogram = HdrHistogram(1, MAX_COST_NS, SIGNIFICANT_DIGITS)
    for cost in costs:
        histogram.record_value(max(1, cost))
    return float(histogram.get_value_at_percentile(percentile))


def measure_cpu_ms(action: Callable[[], object]) -> float:
    """Call `action`, and return the CPU time that it took, in milliseconds."""
    started_at = time.process_time_ns()
    action()
    return (time.process_time_ns() - started_at) / NANOSECONDS_PER_MS


class CpuBudget:
    """A limit on the CPU time that this process uses from now on."""

    def __init__(self, seconds: float) -> None:
        self._ends_at = time.process_time() + seconds

    def is_exhausted(self) -> bool:
        """Return whether the CPU time is used up."""
        return time.process_time() >= self._ends_at


def warm_up(simulation: Simulation, requests: int, should_stop: Callable[[], bool] = lambda: False) -> int:
    """Simulate `requests` arrivals, or fewer if `should_stop` returns true; return their number."""
    count_before = simulation.ledger.arrival_count
    simulation.run(lambda: simulation.ledger.arrival_count - count_before >= requests or should_stop())
    return simulation.ledger.arrival_count - count_before
