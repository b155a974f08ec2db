"""Tests of the plots of sweeps."""

from __future__ import annotations

from pathlib import Path

from scale.report.page import read_selected_runs
from scale.report.plots import plot_sweep
from tests.scale.report.saved_sweeps import NEW_COMMIT, OLD_COMMIT, SIZES, write_sweep


def test_plot_is_byte_identical_when_repeated(tmp_path: Path) -> None:
    write_sweep(tmp_path, OLD_COMMIT, 0, [2 * size for size in SIZES])
    write_sweep(tmp_path, NEW_COMMIT, 1, [1.0] * 5)
    sweep = read_selected_runs(tmp_path).sweeps["backends"]
    first, second = (plot_sweep(sweep, tmp_path / name) for name in ("one", "two"))
    assert first is not None
    assert second is not None
    assert first.read_bytes() == second.read_bytes()
