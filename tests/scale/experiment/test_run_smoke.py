"""Tests of the smallest scenario, run from the command line; they check counts, but no times."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

import psutil
import pytest
from click.testing import CliRunner

from scale import budget
from scale.cli import main
from scale.commands.run import VIOLATION_MEASURES
from scale.results import load_results

SMOKE_SCENARIO = Path(budget.__file__).parent / "scenarios" / "smoke.toml"
REAL_COMMAND = f"exec {sys.executable} -m ingress"
# A program in place of a real ingress: it answers PING and exits at the first other command.
EXIT_AT_FIRST_REQUEST_PROGRAM = """
import os, socket

host, port = os.environ["EDGE_LISTEN"].split(":")
server = socket.create_server((host, int(port)))
while True:
    connection, _ = server.accept()
    if b"PING" not in connection.recv(4096):
        break
    connection.sendall(b"+PONG\\r\\n")
"""


def test_smoke_scenario_runs_and_leaves_no_process_behind(tmp_path: Path) -> None:
    children_before = set(psutil.Process().children(recursive=True))
    result = CliRunner().invoke(
        main, ["run", str(SMOKE_SCENARIO), "--results", str(tmp_path), "--real-command", REAL_COMMAND]
    )
    assert result.exit_code == 0, result.output
    assert set(psutil.Process().children(recursive=True)) == children_before
    (saved,) = load_results(tmp_path)
    (point,) = saved.points
    assert (saved.kind, saved.name) == ("run", "smoke")
    assert point.sizes["ingresses"] == 9
    measures = point.measures
    assert [measures[name] for name in VIOLATION_MEASURES] == [0] * len(VIOLATION_MEASURES)
    assert measures["requests"] > measures["real_requests"] > 0
    assert measures["changes"] >= 6
    assert measures["change_missing"] == measures["real_change_missing"] == 0
    assert measures["cold_starts"] >= 2
    kinds = {event.kind for event in saved.events}
    assert {"churn_done", "zone_back", "restart_done", "discovery_back", "change"} <= kinds


@pytest.fixture
def scenario_without_hollow(tmp_path: Path) -> Path:
    """Return the path of the smallest scenario, without its hollow ingresses."""
    path = tmp_path / "no-hollow.toml"
    text = SMOKE_SCENARIO.read_text(encoding="utf-8")
    for line, replacement in (("hollow = 8", "hollow = 0"), ("spread = 2", ""), ("spread = 4", "")):
        text = text.replace(line, replacement)
    path.write_text(text, encoding="utf-8")
    return path


def test_run_ends_with_one_line_when_a_real_ingress_does_not_start(
    scenario_without_hollow: Path, tmp_path: Path
) -> None:
    children_before = set(psutil.Process().children(recursive=True))
    results = tmp_path / "results"
    result = CliRunner().invoke(
        main,
        [
            "run",
            str(scenario_without_hollow),
            "--results",
            str(results),
            "--real-command",
            "echo no room; exit 3",
        ],
    )
    assert result.exit_code == 2
    assert "error: real ingress 0: ended with code 3: no room" in result.output
    assert set(psutil.Process().children(recursive=True)) == children_before
    assert not results.exists()


def test_run_fails_when_a_real_ingress_exits_by_itself(scenario_without_hollow: Path, tmp_path: Path) -> None:
    text = scenario_without_hollow.read_text(encoding="utf-8").split("[[events]]")[0]
    scenario_without_hollow.write_text(text.replace("duration_s = 2.5", "duration_s = 0.5"), encoding="utf-8")
    program = tmp_path / "program.py"
    program.write_text(EXIT_AT_FIRST_REQUEST_PROGRAM, encoding="utf-8")
    result = CliRunner().invoke(
        main,
        [
            "run",
            str(scenario_without_hollow),
            "--results",
            str(tmp_path / "results"),
            "--real-command",
            f"exec {sys.executable} {program}",
        ],
    )
    assert result.exit_code == 1
    (saved,) = load_results(tmp_path / "results")
    assert saved.points[0].measures["real_died"] == 1
    assert saved.points[0].measures["lost"] >= 1


@pytest.mark.parametrize("missing_part", ["ingress", ".venv"])
def test_missing_part_of_a_project_is_named_in_the_error(missing_part: str, tmp_path: Path) -> None:
    if missing_part == ".venv":
        (tmp_path / "ingress").mkdir()
        (tmp_path / "ingress" / "__init__.py").touch()
        (tmp_path / "deploy").mkdir()
        (tmp_path / "deploy" / "balancer.toml").write_text('run = "exec .venv/bin/python"', encoding="utf-8")
    result = CliRunner().invoke(main, ["run", str(SMOKE_SCENARIO), "--project", str(tmp_path)])
    assert result.exit_code == 2
    assert missing_part in result.output
    assert len(result.output.strip().splitlines()) == 1


# The signal, the number of hollow ingresses, and the number of child processes.
INTERRUPTIONS = [(signal.SIGINT, 8, 4), (signal.SIGTERM, 0, 3)]


@pytest.mark.parametrize(("signal_number", "hollow_count", "child_count"), INTERRUPTIONS)
def test_interrupted_run_ends_its_child_processes(
    signal_number: signal.Signals,
    hollow_count: int,
    child_count: int,
    scenario_without_hollow: Path,
    tmp_path: Path,
) -> None:
    """The children are the backends, the clients, a real ingress, and a worker for any hollow ingresses."""
    results = tmp_path / "results"
    scenario = SMOKE_SCENARIO if hollow_count else scenario_without_hollow
    command = [sys.executable, "-m", "scale", "run", str(scenario), "--results", str(results)]
    run = subprocess.Popen(
        [*command, "--real-command", REAL_COMMAND],
        cwd=budget.TOOL_ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert run.stderr is not None
    assert any('"event": "load"' in line for line in run.stderr)
    children = psutil.Process(run.pid).children(recursive=True)
    assert len(children) == child_count
    run.send_signal(signal_number)
    _, errors = run.communicate(timeout=20.0)
    assert run.returncode == 130
    assert errors.strip().splitlines()[-1].endswith("interrupted: all processes of the run were ended")
    assert not any(child.is_running() for child in children)
    assert not results.exists()
