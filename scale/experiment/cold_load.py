"""The load of cold backends, counted in windows, relative to the load that overloads them."""

from __future__ import annotations

from collections.abc import Iterable

from scale.scenario import BackendModel
from scale.standins.backend_queue import COLD_WINDOW_S, calculate_capacity


def cold_peak_ratio(model: BackendModel, units_by_start: dict[str, dict[int, float]]) -> float:
    """Return the highest ratio, over all cold backends, of the units sent to the units that overload one.

    Both are sums over the overload window.  `units_by_start` holds the units by counting window for each
    start, whose key is ID@UNIX_TIME.
    """
    window_count = max(1, round(model.fall_s / COLD_WINDOW_S))
    max_ratio = 0.0
    for key, windows in units_by_start.items():
        started_at = float(key.rpartition("@")[2])
        for last_window in windows:
            sent_units = sum(
                windows.get(window, 0.0) for window in range(last_window - window_count + 1, last_window + 1)
            )
            ages = [
                (window + 0.5) * COLD_WINDOW_S - started_at
                for window in range(last_window - window_count + 1, last_window + 1)
            ]
            unit_budget = (
                model.fall_factor * sum(calculate_capacity(model, age) for age in ages) * COLD_WINDOW_S
            )
            max_ratio = max(max_ratio, sent_units / unit_budget)
    return max_ratio


def merge_cold_units(units_by_worker: Iterable[dict[str, dict[int, float]]]) -> dict[str, dict[int, float]]:
    """Return the sums of the units that the processes have counted."""
    merged: dict[str, dict[int, float]] = {}
    for worker_units in units_by_worker:
        for key, windows in worker_units.items():
            merged_windows = merged.setdefault(key, {})
            for window, units in windows.items():
                merged_windows[window] = merged_windows.get(window, 0.0) + units
    return merged
