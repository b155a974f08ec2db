"""Tests of the estimates at the target sizes."""

from __future__ import annotations

from pathlib import Path

import pytest

from scale.report.evidence import Evidence
from scale.report.figures import MISSING, Figure, Mark
from scale.report.page import read_selected_runs
from scale.report.tables import scenario_table
from scale.results import load_result, save_result
from tests.scale.report.saved_sweeps import OLD_COMMIT, SIZES, write_sweep


def test_estimate_at_several_targets_ranges_from_costliest_sweep_to_summed_growth(tmp_path: Path) -> None:
    write_sweep(tmp_path, OLD_COMMIT, 0, [100 + size for size in SIZES])
    write_sweep(tmp_path, OLD_COMMIT, 0, [100 + 3 * size for size in SIZES], name="ingresses")
    evidence = Evidence(read_selected_runs(tmp_path), {"backends": 1000, "ingresses": 1000})
    figure = evidence.estimate_at_targets("change_cpu_us", "backends", "ingresses")
    assert figure.mark is Mark.EXTRAPOLATED
    assert figure.value == pytest.approx(3100)
    assert figure.high == pytest.approx(3100 + 1100 - 110)
    assert len(figure.files) == 2


def test_point_near_all_targets_counts_as_measured(tmp_path: Path) -> None:
    path = write_sweep(tmp_path, OLD_COMMIT, 0, [2 * size for size in SIZES])
    result = load_result(path)
    for point in result.points:
        point.sizes["ingresses"] = 40
    file = save_result(result, tmp_path).name
    evidence = Evidence(read_selected_runs(tmp_path), {"backends": 1000, "ingresses": 41})
    assert evidence.estimate_at_targets("change_cpu_us", "backends", "ingresses") == Figure(
        Mark.MEASURED, 2000, 2000, 2000, (file,)
    )


def test_scenario_figure_comes_from_largest_fleet(tmp_path: Path) -> None:
    for name, ingresses in (("hundreds", 400.0), ("smoke", 5.0)):
        result = load_result(
            write_sweep(tmp_path / "made", OLD_COMMIT, 0, [ingresses] * 5, measure="served_share")
        )
        result.kind = "run"
        result.name = name
        for point in result.points:
            point.sizes["ingresses"] = ingresses
        save_result(result, tmp_path)
    evidence = Evidence(read_selected_runs(tmp_path))
    figure = evidence.scenario_figure("served_share")
    assert (figure.mark, figure.value) == (Mark.MEASURED, 400)
    assert scenario_table(evidence).count("400 ingresses") == 1
    assert evidence.scenario_figure("added_latency_p99_ms") == MISSING
