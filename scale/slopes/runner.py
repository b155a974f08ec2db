"""Run sweeps: each pass at each point in its own child process, one at a time; each sweep gives a result."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from pydantic import ValidationError

from scale.environment import MachineObserver, read_commit
from scale.errors import ScaleError
from scale.project import child_environment
from scale.results import Point, Result, now
from scale.slopes.job import CounterModel, Job, Measurement, Pass, Sizes
from scale.slopes.sweeps import Sweep

MIN_TIMEOUT_S = 300.0  # shortest timeout of a child process
TIMEOUT_BUDGETS = 30.0  # timeout of a child process in multiples of its CPU budget, if that is longer


class MeasuringChildError(ScaleError):
    """A measuring child process has returned no measurement."""


@dataclass
class SweepRunner:
    """Measures the points of sweeps with the version in `project`; a pass runs only once for equal sizes."""

    project: Path
    cpu_budget_s: float
    counter: CounterModel = field(default_factory=CounterModel)
    note: str = ""
    _measures_by_pass: dict[tuple[Pass, Sizes], dict[str, float]] = field(default_factory=dict)

    def run(self, sweep: Sweep, on_pass_done: Callable[[], None]) -> Result:
        """Measure all points of a sweep, and return the result; `on_pass_done` is called after each pass."""
        commit, dirty = read_commit(self.project)
        taken_at = now()
        started_at = time.monotonic()
        with MachineObserver(self.note) as observer:
            points = [self._measure_point(sweep, sizes, on_pass_done) for sizes in sweep.sizes]
        return Result(
            kind="slopes",
            name=sweep.name,
            commit=commit,
            dirty=dirty,
            taken_at=taken_at,
            seconds=round(time.monotonic() - started_at, 1),
            environment=observer.result(),
            points=points,
        )

    def _measure_point(self, sweep: Sweep, sizes: Sizes, on_pass_done: Callable[[], None]) -> Point:
        measures: dict[str, float] = {}
        for pass_ in sweep.passes:
            key = pass_, sizes
            if key not in self._measures_by_pass:
                self._measures_by_pass[key] = self._run_pass(pass_, sizes)
            measures |= self._measures_by_pass[key]
            on_pass_done()
        return Point(sizes=sizes.model_dump(), measures=measures | _derive_measures(measures, sizes))

    def _run_pass(self, pass_: Pass, sizes: Sizes) -> dict[str, float]:
        job = Job(measuring=pass_, sizes=sizes, counter=self.counter, cpu_budget_s=self.cpu_budget_s)
        return run_job(job, self.project).measures


def _derive_measures(measures: dict[str, float], sizes: Sizes) -> dict[str, float]:
    """Return the measures that are computed from the measures of several passes.

    The control bytes of one ingress are those of its counter calls and of the changes of the endpoint list,
    without headers.
    """
    if not {"counter_bytes_per_s", "change_bytes"} <= measures.keys():
        return {}
    changes = sizes.changes_per_s * measures["change_bytes"]
    return {"control_bytes_per_s": measures["counter_bytes_per_s"] + changes}


def run_job(job: Job, project: Path) -> Measurement:
    """Run one pass in a child process, and return its measurement.

    Raise MeasuringChildError if the child exceeds its timeout, fails or prints no measurement.  The message
    for a failure ends with the last line that the child wrote to standard error.
    """
    command = [sys.executable, "-P", "-m", "scale.slopes.measure"]
    timeout_s = max(MIN_TIMEOUT_S, TIMEOUT_BUDGETS * job.cpu_budget_s)
    with child_environment(project) as environment:
        try:
            completed = subprocess.run(
                command,
                input=job.model_dump_json(),
                capture_output=True,
                text=True,
                env=environment,
                timeout=timeout_s,
                check=False,
            )
        except subprocess.TimeoutExpired:
            raise MeasuringChildError(
                f"{job.measuring.value}: no measurement within {timeout_s:g} s"
            ) from None
    if completed.returncode:
        last_line = (completed.stderr.strip().splitlines() or ["no message"])[-1]
        raise MeasuringChildError(f"{job.measuring.value}: exit code {completed.returncode}: {last_line}")
    try:
        return Measurement.model_validate_json(completed.stdout)
    except ValidationError:
        raise MeasuringChildError(
            f"{job.measuring.value}: the output of the child process is not a measurement"
        ) from None
