"""The load that cold backends received, relative to the load that overloads them."""

from __future__ import annotations

from collections.abc import Iterable

from scale.scenario import BackendModel
from scale.standins.backend_queue import COLD_WINDOW_S, calculate_capacity


def cold_peak_ratio(model: BackendModel, units_by_start: dict[str, dict[int, float]]) -> float:
    """Return the highest ratio of the units that a cold backend received to the units that overload it.

    Both numbers are sums over a span of `fall_s` seconds; all such spans of each cold start are compared.
    `units_by_start` has a key ID@UNIX_TIME for each cold start; its values are units by window.
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


def merge_cold_units(all_units: Iterable[dict[str, dict[int, float]]]) -> dict[str, dict[int, float]]:
    """Return the units by start and window, summed over all processes."""
    merged: dict[str, dict[int, float]] = {}
    for process_units in all_units:
        for key, windows in process_units.items():
            merged_windows = merged.setdefault(key, {})
            for window, units in windows.items():
                merged_windows[window] = merged_windows.get(window, 0.0) + units
    return merged
