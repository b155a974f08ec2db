"""`python -m scale cold`: compare what cold backends get with their budget, in fleets of several sizes."""

from __future__ import annotations

import time
from dataclasses import asdict
from pathlib import Path

import click
import structlog
from rich.console import Console
from rich.table import Table

from scale.cold.fleet import Fleet
from scale.cold.job import ColdStartJob, ColdStartKind
from scale.cold.table import COLUMN_TITLES, format_row
from scale.cold.windows import WindowUsage, measure_window_usage
from scale.environment import MachineObserver, read_commit
from scale.project import TOOL_ROOT
from scale.results import Point, Result, now, save_result

RESULTS_FOLDER = TOOL_ROOT / "scale" / "results"
LATE_NOTICE_S = 4.0  # longest delay until an ingress has the new list, in the jobs with late lists
FLEETS = ((3, 12), (30, 30), (300, 150))  # numbers of ingresses and backends
LOADS = (0.6, 1.2)  # load relative to the capacity of all warm backends
COLD_START_KINDS: tuple[ColdStartKind, ...] = ("replaced", "restarted")
log = structlog.get_logger(__name__)


def make_jobs(seed: int) -> list[ColdStartJob]:
    """Return a job for each combination of fleet, load, kind of start, and new lists in time or late."""
    return [
        ColdStartJob(
            ingresses=ingresses,
            backends=backends,
            load=load,
            start_kind=kind,
            longest_notice_s=notice,
            seed=seed,
        )
        for ingresses, backends in FLEETS
        for load in LOADS
        for kind in COLD_START_KINDS
        for notice in (0.0, LATE_NOTICE_S)
    ]


def measure_job(job: ColdStartJob) -> Point:
    """Run one job, and measure the windows with the requests of informed ingresses and of all ingresses."""
    record = Fleet(job).simulate()
    backend_ids = sorted(record.arrivals_from_informed.keys() | record.arrivals_from_uninformed.keys())
    all_arrivals = [
        sorted(
            record.arrivals_from_informed.get(backend_id, [])
            + record.arrivals_from_uninformed.get(backend_id, [])
        )
        for backend_id in backend_ids
    ]
    measures = {
        "requests": float(record.request_count),
        "sent_share": record.sent_request_count / max(1, record.request_count),
    }
    # In results, "told" means the requests from ingresses that knew of the cold starts.
    measures |= _prefix_measures(
        "told", measure_window_usage(job, list(record.arrivals_from_informed.values()))
    )
    measures |= _prefix_measures("all", measure_window_usage(job, all_arrivals))
    sizes = {name: float(value) for name, value in job.model_dump().items() if isinstance(value, int | float)}
    return Point(sizes=sizes | {"restarted": float(job.start_kind == "restarted")}, measures=measures)


def _prefix_measures(prefix: str, window_usage: WindowUsage) -> dict[str, float]:
    return {f"{prefix}_{name}": float(value) for name, value in asdict(window_usage).items()}


def cold_table(result: Result) -> Table:
    """Return a table with one row for each point of a result."""
    table = Table(*COLUMN_TITLES)
    for point in result.points:
        table.add_row(*format_row(point))
    return table


@click.command()
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=RESULTS_FOLDER,
    help="The folder for the result.",
)
@click.option("--note", default="", help="What else ran on the machine meanwhile.")
def command(seed: int, out: Path, note: str) -> None:
    """Count what cold backends get in each window with 3, 30 and 300 ingresses, lists in time and late."""
    commit, dirty = read_commit(TOOL_ROOT)
    taken_at = now()
    started_at = time.monotonic()
    with MachineObserver(note) as observer:
        points = [measure_job(job) for job in make_jobs(seed)]
    result = Result(
        kind="cold",
        name="starts",
        commit=commit,
        dirty=dirty,
        taken_at=taken_at,
        seconds=round(time.monotonic() - started_at, 1),
        environment=observer.result(),
        points=points,
    )
    log.info("cold starts measured", file=save_result(result, out).name)
    Console(width=150).print(cold_table(result))
