"""Tests of the selection of runs on the oldest and the newest commit of each sweep."""

from __future__ import annotations

from pathlib import Path

from scale.report.evidence import Evidence
from scale.report.figures import MISSING
from scale.report.page import read_selected_runs
from scale.report.versions import COMMIT_ORDER_FILE, SelectedRuns
from tests.scale.report.saved_sweeps import NEW_COMMIT, OLD_COMMIT, write_sweep


def test_before_and_after_are_oldest_and_newest_commit(tmp_path: Path) -> None:
    write_sweep(tmp_path, OLD_COMMIT, 0, [1.0] * 5)
    again = write_sweep(tmp_path, OLD_COMMIT, 9, [2.0] * 5)
    new = write_sweep(tmp_path, NEW_COMMIT, 5, [3.0] * 5, dirty=True)
    sweep = read_selected_runs(tmp_path).sweeps["backends"]
    assert sweep.before is not None
    assert sweep.before.file_name == again.name
    assert sweep.after.file_name == new.name
    assert sweep.after.commit_label == "bbbbbbb with uncommitted changes"


def test_order_file_takes_precedence_over_order_of_runs(tmp_path: Path) -> None:
    write_sweep(tmp_path, NEW_COMMIT, 0, [1.0] * 5)
    old = write_sweep(tmp_path, OLD_COMMIT, 5, [2.0] * 5)
    (tmp_path / COMMIT_ORDER_FILE).write_text(
        f"# oldest first\n{OLD_COMMIT[:7]}\n{NEW_COMMIT[:7]}\n", encoding="utf-8"
    )
    sweep = read_selected_runs(tmp_path).sweeps["backends"]
    assert sweep.before is not None
    assert sweep.before.file_name == old.name


def test_single_commit_has_no_before(tmp_path: Path) -> None:
    write_sweep(tmp_path, OLD_COMMIT, 0, [1.0] * 5)
    evidence = Evidence(read_selected_runs(tmp_path))
    assert evidence.estimate_at_target("backends", "change_cpu_us", "before") == MISSING


def test_no_saved_results_select_no_runs(tmp_path: Path) -> None:
    assert read_selected_runs(tmp_path) == SelectedRuns()
