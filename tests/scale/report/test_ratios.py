"""Tests of the ratios of a measure between two fleet sizes of the acceptance sweep."""

from __future__ import annotations

from pathlib import Path

from scale.report.evidence import Evidence
from scale.report.figures import MISSING, Figure, Mark
from scale.report.page import read_selected_runs
from scale.report.ratios import RATIOS, FleetSize, Ratio, measured_ratio
from scale.results import load_result, save_result
from tests.scale.report.saved_sweeps import OLD_COMMIT, write_sweep


def test_ratio_compares_two_fleet_sizes(tmp_path: Path) -> None:
    path = write_sweep(tmp_path, OLD_COMMIT, 0, [3.0, 1.0, 2.0, 6.0, 1.0], name="acceptance")
    result = load_result(path)
    for point, backends in zip(result.points, (200, 50, 2_000, 20_000, 7), strict=True):
        point.sizes |= {"backends": backends, "ingresses": 3_400}
    save_result(result, tmp_path)
    evidence = Evidence(read_selected_runs(tmp_path))
    ratio = Ratio("change_cpu_us", FleetSize(20_000, 3_400), FleetSize(200, 3_400))
    assert measured_ratio(evidence, ratio, "after") == Figure(Mark.MEASURED, 2, 2, 2, (path.name,))
    assert measured_ratio(evidence, RATIOS[-1], "after") == MISSING
    assert measured_ratio(evidence, ratio, "before") == MISSING
