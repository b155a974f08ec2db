"""`python -m scale run`: run one scenario with real and hollow ingresses, and save its result."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click
import uvloop

from scale import budget
from scale.experiment.runner import RunOptions, run_scenario
from scale.project import check_project
from scale.real import read_run_command
from scale.results import Result, save_result
from scale.scenario import Scenario, load_scenario

VIOLATION_MEASURES = ("lost", "duplicated", "wrong", "real_died")
EXIT_VIOLATED = 1  # exit code if a measure of VIOLATION_MEASURES is not 0
EXIT_INTERRUPTED = 130  # exit code after Ctrl-C or SIGTERM
RUN_SLACK_S = 180.0  # time limit of a run beyond the length of its phases
START_ALLOWANCE_PER_INGRESS_S = 0.3  # added to the time limit of a run for each ingress


def _run(options: RunOptions, timeout_s: float) -> Result:
    try:
        return uvloop.run(run_scenario(options, timeout_s))
    except (KeyboardInterrupt, asyncio.CancelledError):
        click.echo("interrupted: all processes of the run were ended", err=True)
        sys.exit(EXIT_INTERRUPTED)


def _run_with_progress_bar(
    scenario: Scenario, project: Path, command: str, note: str, timeout_s: float
) -> Result:
    total_s = scenario.idle_s + scenario.duration_s
    with click.progressbar(length=round(total_s * 1000), label=scenario.name, file=sys.stderr) as bar:
        options = RunOptions(
            scenario, project, command, note, lambda seconds: bar.update(round(seconds * 1000))
        )
        return _run(options, timeout_s)


@click.command()
@click.argument("scenario_path", metavar="SCENARIO.toml", type=click.Path(path_type=Path, dir_okay=False))
@click.option(
    "--project",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    default=budget.TOOL_ROOT,
    help="The checkout that is measured.",
)
@click.option(
    "--results",
    type=click.Path(path_type=Path, file_okay=False),
    default=budget.TOOL_ROOT / "scale" / "results",
    help="The folder of the result.",
)
@click.option("--note", default="", help="A remark that the result keeps.")
@click.option("--real-command", help="In place of the `run` of the project's deploy file.")
def command(scenario_path: Path, project: Path, results: Path, note: str, real_command: str | None) -> None:
    """Run one scenario and save its result."""
    scenario = load_scenario(scenario_path)
    project = project.resolve()
    check_project(project)
    start_command = real_command or (read_run_command(project) if scenario.sizes.real else "")
    hollow_bytes = budget.measure_hollow_bytes(scenario_path, project) if scenario.sizes.hollow else 0
    budget.check_resources(budget.estimate_needs(scenario, hollow_bytes), budget.Machine.current())
    timeout_s = (
        scenario.idle_s
        + scenario.duration_s
        + RUN_SLACK_S
        + START_ALLOWANCE_PER_INGRESS_S * scenario.sizes.ingresses
    )
    result = _run_with_progress_bar(scenario, project, start_command, note, timeout_s)
    click.echo(f"saved {save_result(result, results).name}")
    measures = result.points[0].measures
    for name in sorted(measures):
        click.echo(f"{name} {measures[name]:g}")
    violated = [name for name in VIOLATION_MEASURES if measures[name]]
    if violated:
        click.echo(f"error: not every request got its one final answer: {', '.join(violated)}", err=True)
        sys.exit(EXIT_VIOLATED)
