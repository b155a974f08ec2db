"""Tests of cold starts: windows and their budgets, and the requests that fleets send to cold backends."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from ingress.decisions.balancer import LoadBalancer
from scale.cold.fleet import Fleet
from scale.cold.job import ColdStartJob, ColdStartKind
from scale.cold.windows import calculate_chance_limit, calculate_window_budget, measure_window_usage
from scale.commands import cold
from scale.report.cold import cold_start_table
from scale.report.page import read_selected_runs
from scale.results import load_results

SMALL_FLEET_JOB = ColdStartJob(ingresses=3, backends=8, load=0.6, warm_up_s=4.0, cold_s=6.0)


def test_capacity_share_grows_linearly_during_a_cold_start() -> None:
    job = SMALL_FLEET_JOB.model_copy(update={"cold_s": 10.0, "cold_share": 0.2})
    assert [job.calculate_capacity_share(age) for age in (0.0, 5.0, 10.0, 99.0)] == pytest.approx(
        [0.2, 0.6, 1.0, 1.0]
    )


def test_a_window_begins_with_each_request() -> None:
    job = ColdStartJob(
        ingresses=1,
        backends=2,
        load=1.0,
        capacity=1.0,
        cold_share=0.5,
        fall_factor=2.0,
        fall_s=2.0,
        cold_s=10.0,
    )
    assert calculate_window_budget(job, 0.0) == pytest.approx(2.0)
    assert calculate_chance_limit(4.0) == pytest.approx(10.0)
    usage = measure_window_usage(job, [[0.0, 0.5, 1.0, 1.9, 2.1, 9.0]])
    assert usage.windows == 5  # the window that begins at 9.0 s would end after the backend is warm
    assert usage.most == pytest.approx(2.0)  # four requests in the window from 0 s, with a budget of two
    assert usage.beyond_budget == 3
    assert usage.beyond_chance == 0
    # Of the windows of 9 to 1 requests, those of 9, 8 and 7 exceed 6.9, up to which an excess may be chance.
    assert measure_window_usage(job, [[0.1] * 9]).beyond_chance == 3


def test_there_are_no_windows_without_requests() -> None:
    assert measure_window_usage(SMALL_FLEET_JOB, []).windows == 0


@pytest.mark.parametrize("ingress_count", [3, 24])
@pytest.mark.parametrize("start_kind", ["replaced", "restarted"])
@pytest.mark.parametrize("notice_s", [0.0, 3.0])
def test_fleet_does_not_overload_cold_backends(
    ingress_count: int, start_kind: ColdStartKind, notice_s: float
) -> None:
    changes = {
        "ingresses": ingress_count,
        "start_kind": start_kind,
        "longest_notice_s": notice_s,
        "load": 1.2,
    }
    job = SMALL_FLEET_JOB.model_copy(update=changes)
    record = Fleet(job).simulate()
    usage = measure_window_usage(job, list(record.arrivals_from_informed.values()))
    assert usage.windows >= 5  # cold backends receive requests
    assert usage.beyond_chance == 0


def test_windows_show_the_overload_by_a_fleet_without_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LoadBalancer, "slow_start_allows", lambda *_: True)
    job = ColdStartJob(ingresses=60, backends=12, load=1.2, capacity=5.0, warm_up_s=4.0, cold_s=6.0)
    record = Fleet(job).simulate()
    assert measure_window_usage(job, list(record.arrivals_from_informed.values())).beyond_chance > 0


def test_simulation_is_repeatable() -> None:
    assert Fleet(SMALL_FLEET_JOB).simulate() == Fleet(SMALL_FLEET_JOB).simulate()


def test_command_saves_a_result(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cold, "FLEETS", ((2, 4),))
    monkeypatch.setattr(cold, "LOADS", (0.5,))
    run = CliRunner().invoke(cold.command, ["--out", str(tmp_path)])
    assert run.exit_code == 0, run.output
    [result] = load_results(tmp_path)
    assert result.kind == "cold"
    assert len(result.points) == 4
    assert all(point.measures["told_beyond_chance"] == 0 for point in result.points)


def test_new_result_has_the_keys_of_the_saved_one() -> None:
    [saved] = [result for result in load_results(cold.RESULTS_FOLDER) if result.kind == "cold"]
    point = cold.measure_job(SMALL_FLEET_JOB)
    assert point.sizes.keys() == saved.points[0].sizes.keys()
    assert point.measures.keys() == saved.points[0].measures.keys()


def test_page_shows_the_newest_run_of_cold_starts(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cold, "FLEETS", ((2, 4),))
    assert CliRunner().invoke(cold.command, ["--out", str(tmp_path)]).exit_code == 0
    selected = read_selected_runs(tmp_path)
    assert selected.cold_starts is not None
    assert not selected.sweeps
    assert not selected.scenarios
    table = cold_start_table(selected.cold_starts)
    assert table.count("\n| 2 | 4 |") == 8
    assert selected.cold_starts.commit_label in table
    assert "missing" in cold_start_table(None)
