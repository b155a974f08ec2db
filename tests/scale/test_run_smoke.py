"""One run of the smallest scenario, from the command line: counts only, no times."""

from __future__ import annotations

import sys
from pathlib import Path

import psutil
import pytest
from click.testing import CliRunner

from scale import budget
from scale.cli import main
from scale.results import load_all

SMOKE = Path(budget.__file__).parent / "scenarios" / "smoke.toml"
REAL_COMMAND = f"exec {sys.executable} -m mulleinhall"


def test_the_smoke_scenario_runs_and_leaves_nothing_behind(tmp_path: Path) -> None:
    before = set(psutil.Process().children(recursive=True))
    result = CliRunner().invoke(
        main, ["run", str(SMOKE), "--results", str(tmp_path), "--real-command", REAL_COMMAND])
    assert result.exit_code == 0, result.output
    assert set(psutil.Process().children(recursive=True)) == before
    (saved,) = load_all(tmp_path)
    (point,) = saved.points
    assert (saved.kind, saved.name) == ("run", "smoke")
    assert point.sizes["ingresses"] == 9
    measures = point.measures
    assert measures["lost"] == measures["duplicated"] == measures["wrong"] == 0
    assert measures["requests"] > measures["real_requests"] > 0
    assert measures["changes"] >= 6
    assert measures["change_missing"] == 0
    assert measures["cold_starts"] >= 2
    kinds = {event.kind for event in saved.events}
    assert {"churn_done", "zone_back", "restart_done", "discovery_back", "change"} <= kinds


def test_a_real_ingress_that_does_not_start_ends_the_run_in_one_line(tmp_path: Path) -> None:
    before = set(psutil.Process().children(recursive=True))
    result = CliRunner().invoke(
        main, ["run", str(SMOKE), "--results", str(tmp_path), "--real-command", "echo no room; exit 3"])
    assert result.exit_code == 2
    assert "error: real ingress 8: ended with code 3: no room" in result.output
    assert set(psutil.Process().children(recursive=True)) == before
    assert not list(tmp_path.iterdir())


@pytest.mark.parametrize("missing", ["mulleinhall", ".venv"])
def test_a_project_that_can_not_be_run_is_named(missing: str, tmp_path: Path) -> None:
    if missing == ".venv":
        (tmp_path / "mulleinhall").mkdir()
        (tmp_path / "deploy").mkdir()
        (tmp_path / "deploy" / "balancer.toml").write_text('run = "exec .venv/bin/python"', encoding="utf-8")
    result = CliRunner().invoke(main, ["run", str(SMOKE), "--project", str(tmp_path)])
    assert result.exit_code == 2
    assert missing in result.output
    assert len(result.output.strip().splitlines()) == 1
