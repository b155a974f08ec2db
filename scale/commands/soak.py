"""`python -m scale soak`: random faults and bad clients before one real ingress, and a check of the rules."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click
import structlog

from scale.project import TOOL_ROOT
from scale.real import read_run_command
from scale.soak.books import Ending
from scale.soak.plan import SoakPlan, draw_plan
from scale.soak.rules import find_violations
from scale.soak.run import SoakRun

MAX_SHOWN_VIOLATIONS = 5
MAX_SHOWN_LOG_LINES = 15
log = structlog.get_logger(__name__)


def parse_seeds(text: str) -> list[int]:
    """Return the seeds that text like `0-49` or `7,9` names; raise click.BadParameter if it names none."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        if not first.isdecimal() or not (last or first).isdecimal() or part.endswith("-"):
            raise click.BadParameter(f"{part!r} is not a seed or a range of seeds, such as 7 or 0-49")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


async def play_plan(plan: SoakPlan, project: Path, start_command: str) -> list[str]:
    """Play the run of a plan, print its figures, and return the violations."""
    run = SoakRun(plan, project, start_command)
    books = await run.play()
    violations = find_violations(books)
    counts = " ".join(f"{ending}={books.count(ending)}" for ending in Ending if books.count(ending))
    click.echo(
        f"seed {plan.seed}: flood={plan.flood} x{plan.flooder_count} crowd={plan.crowd} x{plan.crowd_size}"
        f" sigterm={plan.ends_by_sigterm} reloads={len(plan.reload_times_s)}"
        f" faults={plan.backend_fault_share} replacements={len(plan.replacement_times_s)}"
        f" shared={plan.has_shared_connections}"
        f" own_lag={books.longest_own_lag_s * 1000:.0f} ms"
        f" peak={books.peak_memory_bytes / 1e6:.1f}/{plan.memory_mb} MB {counts}"
        f" {'OK' if not violations else f'{len(violations)} VIOLATIONS'}"
    )
    for violation in violations[:MAX_SHOWN_VIOLATIONS]:
        click.echo(f"  {violation}")
    if violations:
        for line in run.log.splitlines()[-MAX_SHOWN_LOG_LINES:]:
            click.echo(f"  log: {line}")
    return violations


async def play_plans(plans: list[SoakPlan], parallel: int, project: Path, start_command: str) -> int:
    """Play the runs, some at once; return how many broke a rule."""
    slots = asyncio.Semaphore(parallel)

    async def play(plan: SoakPlan) -> bool:
        async with slots:
            return bool(await play_plan(plan, project, start_command))

    return sum(await asyncio.gather(*map(play, plans)))


@click.command()
@click.option("--seeds", default="0-49", show_default=True, help="Seeds, as 7,9 or 0-49.")
@click.option("--parallel", type=click.IntRange(1, 16), default=1, show_default=True, help="Runs at once.")
@click.option("--project", type=click.Path(exists=True, file_okay=False, path_type=Path), default=TOOL_ROOT)
@click.option("--real-command", default=None, help="The command of an ingress, for `run` of the deploy file.")
@click.option("--heavy", is_flag=True, help="Shared connections beside crowds, too.")
def command(seeds: str, parallel: int, project: Path, real_command: str | None, heavy: bool) -> None:
    """Play seeded runs of some ten seconds each, and exit with code 1 if one breaks a rule."""
    numbers = parse_seeds(seeds)
    start_command = real_command or read_run_command(project)
    plans = [draw_plan(seed, heavy) for seed in numbers]
    broken = asyncio.run(play_plans(plans, parallel, project, start_command))
    click.echo(f"{len(numbers)} runs, {broken} with violations")
    if broken:
        raise SystemExit(1)
