"""`python -m scale slopes`: sweep one size at a time, and measure each point in child processes."""

from __future__ import annotations

from pathlib import Path

import click
import structlog
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from scale.project import TOOL_ROOT
from scale.results import Result, save_result
from scale.slopes.job import CounterModel
from scale.slopes.runner import SweepRunner
from scale.slopes.sweeps import SWEEPS, Sweep, shorten_sweep
from scale.slopes.tables import ACCEPTANCE_SWEEP, build_ratio_table, build_sweep_table

TABLE_WIDTH = 120
FOLDER = TOOL_ROOT / "scale" / "results"
log = structlog.get_logger(__name__)


@click.command()
@click.option(
    "--dimension",
    "dimensions",
    multiple=True,
    type=click.Choice(list(SWEEPS)),
    help="A sweep to run; repeat it for several.  All by default.",
)
@click.option(
    "--project",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=TOOL_ROOT,
    help="The checkout that is measured; by default the tool's own.",
)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=FOLDER,
    help="The folder for the results.",
)
@click.option(
    "--points-budget",
    type=click.FloatRange(min=0.1),
    default=4.0,
    show_default=True,
    help="CPU seconds for the timed part of a point.",
)
@click.option(
    "--counter-capacity",
    type=click.FloatRange(min=0, min_open=True),
    show_default=True,
    default=CounterModel().calls_per_request,
    help="Calls that the counter serves for each request of the fleet.",
)
@click.option("--note", default="", help="What else ran on the machine meanwhile.")
@click.option("--quick", "quickly", is_flag=True, help="The first three points of each sweep: for looks.")
def command(
    dimensions: tuple[str, ...],
    project: Path,
    out: Path,
    points_budget: float,
    counter_capacity: float,
    note: str,
    quickly: bool,
) -> None:
    """Sweep backends, ingresses, tenants, services and changes a second, one at a time."""
    sweeps = [SWEEPS[name] for name in dimensions or SWEEPS]
    if quickly:
        sweeps = [shorten_sweep(sweep) for sweep in sweeps]
    counter = CounterModel(calls_per_request=counter_capacity)
    runner = SweepRunner(project, points_budget, counter, note)
    results = _run_sweeps(runner, sweeps, out)
    console = Console(width=max(TABLE_WIDTH, Console().width))
    for result in results:
        console.print(build_sweep_table(result))
        if result.name == ACCEPTANCE_SWEEP:
            console.print(build_ratio_table(result))


def _run_sweeps(runner: SweepRunner, sweeps: list[Sweep], out: Path) -> list[Result]:
    """Run the sweeps one after another, and save each result as soon as its sweep is done."""
    results: list[Result] = []
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(*columns, console=Console(stderr=True)) as progress:
        task = progress.add_task("", total=sum(len(sweep.sizes) * len(sweep.passes) for sweep in sweeps))
        for sweep in sweeps:
            progress.update(task, description=sweep.name)
            result = runner.run(sweep, lambda: progress.advance(task))
            path = save_result(result, out)
            log.info("sweep measured", sweep=sweep.name, points=len(result.points), file=path.name)
            results.append(result)
    return results
