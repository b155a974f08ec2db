"""Tests of the load of cold backends, summed over all processes."""

from __future__ import annotations

import pytest

from scale.experiment.cold_load import cold_peak_ratio, merge_cold_units
from scale.scenario import BackendModel
from scale.standins.backend_queue import get_window_number


def test_cold_peak_ratio_is_that_of_the_highest_window_over_all_processes() -> None:
    model = BackendModel(capacity=100.0, cold_s=10.0, cold_share=1.0, fall_factor=2.0, fall_s=1.0)
    # A backend is overloaded at 200 units: its capacity of 100 units a second, times 2, over 1 s.
    first = get_window_number(1000.0)
    merged = merge_cold_units(
        [{"b1@1000.0": {first: 150.0}}, {"b1@1000.0": {first: 50.0, first + 20: 100.0}}]
    )
    assert merged == {"b1@1000.0": {first: 200.0, first + 20: 100.0}}
    assert cold_peak_ratio(model, merged) == pytest.approx(1.0)
