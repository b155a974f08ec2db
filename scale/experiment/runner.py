"""Run one scenario: start its parts, go through its phases, stop the parts and return the result."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import structlog

from scale.environment import MachineObserver, read_commit
from scale.errors import ScaleError
from scale.experiment.launch import Launcher
from scale.experiment.messages import Load
from scale.experiment.parts import Parts, RealIncarnation
from scale.experiment.reports import collect_reports
from scale.experiment.samples import Phase, take_sample
from scale.experiment.summary import RunRecord, run_measures
from scale.experiment.timeline import Timeline
from scale.results import Point, Result, now
from scale.scenario import Scenario

SETTLE_TIMEOUT_S = 10.0  # time after the load for the ingresses to act on the last changes
REPORT_TIMEOUT_S = 60.0  # time for each report of a child process, beyond the longest deadline
PROGRESS_PERIOD_S = 0.1  # time between two progress reports, and between two checks of the watches
BYTES_PER_MEGABYTE = 1e6
MEASURE_DIGITS = 6  # decimals of a measure in a result
ProgressCallback = Callable[[float], None]  # is called with the seconds since the previous call


@dataclass(frozen=True, slots=True)
class RunOptions:
    """The options of a run."""

    scenario: Scenario
    project: Path  # the checkout that is measured
    real_command: str  # shell command that starts a real ingress
    note: str = ""  # remark that is stored with the result
    report_progress: ProgressCallback = lambda seconds: None


class ScenarioRun:
    """One run of a scenario."""

    def __init__(self, options: RunOptions) -> None:
        self._options = options
        self._scenario = options.scenario
        self._log = structlog.get_logger().bind(scenario=options.scenario.name)

    async def run(self) -> Result:
        """Run the scenario and return its result; stop all started parts, even after a failure."""
        commit, dirty = read_commit(self._options.project)
        taken_at = now()
        started_at = time.monotonic()
        async with AsyncExitStack() as exit_stack:
            with MachineObserver(self._options.note) as observer:
                record = await self._run_phases(exit_stack)
                measures = run_measures(record)
        rounded_measures = {key: round(value, MEASURE_DIGITS) for key, value in measures.items()}
        return Result(
            kind="run",
            name=self._scenario.name,
            commit=commit,
            dirty=dirty,
            taken_at=taken_at,
            seconds=round(time.monotonic() - started_at, 2),
            environment=observer.result(),
            points=[Point(sizes=_result_sizes(self._scenario), measures=rounded_measures)],
            events=record.timeline.events,
        )

    async def _run_phases(self, exit_stack: AsyncExitStack) -> RunRecord:
        """Start the parts, and go through the idle phase, the load, the last changes and the reports."""
        launcher = Launcher(self._scenario, self._options.project, self._options.real_command, exit_stack)
        parts = await launcher.start()
        timeline = Timeline(self._scenario, parts)
        timeline.real_incarnations = [
            RealIncarnation(number, time.monotonic()) for number in parts.real_ingresses
        ]
        idle = await self._run_idle_phase(parts)
        load = await self._run_load_phase(timeline)
        resident_measures = _resident_measures(parts, self._scenario.sizes.hollow)
        await self._wait_for_watches(parts)
        observed_until = time.monotonic()
        longest_deadline_s = max(request_class.deadline_s for request_class in self._scenario.classes)
        reports = await collect_reports(parts, longest_deadline_s + REPORT_TIMEOUT_S)
        return RunRecord(self._scenario, timeline, reports, idle, load, resident_measures, observed_until)

    async def _run_idle_phase(self, parts: Parts) -> Phase:
        self._log.info("idle", seconds=self._scenario.idle_s)
        start = take_sample(parts)
        await self._wait_reporting_progress(self._scenario.idle_s)
        return Phase(start, take_sample(parts))

    async def _wait_reporting_progress(self, seconds: float) -> None:
        """Wait for a number of seconds, and report the progress meanwhile."""
        started_at = last_report_at = time.monotonic()
        while (remaining_s := seconds - (time.monotonic() - started_at)) > 0:
            await asyncio.sleep(min(PROGRESS_PERIOD_S, remaining_s))
            self._options.report_progress(time.monotonic() - last_report_at)
            last_report_at = time.monotonic()

    async def _run_load_phase(self, timeline: Timeline) -> Phase:
        """Run the load and the events; extend the phase beyond `duration_s` until all events have ended."""
        self._log.info("load", seconds=self._scenario.duration_s)
        start = take_sample(timeline.parts)
        for child in timeline.parts.load_generators():
            await child.send(Load())
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(timeline.run_events())
                group.create_task(self._wait_reporting_progress(self._scenario.duration_s))
        except* ScaleError as errors:
            raise _first_error(errors) from None
        return Phase(start, take_sample(timeline.parts))

    async def _wait_for_watches(self, parts: Parts) -> None:
        """Wait until every ingress has acted on the newest version, or for SETTLE_TIMEOUT_S.

        The watch of an ingress names the version that the ingress has acted on.
        """
        give_up_at = time.monotonic() + SETTLE_TIMEOUT_S
        while time.monotonic() < give_up_at:
            running_count = sum(ingress.is_running for ingress in parts.real_ingresses.values())
            if parts.agent.count_up_to_date_watches() >= self._scenario.sizes.hollow + running_count:
                return
            await asyncio.sleep(PROGRESS_PERIOD_S)


def _result_sizes(scenario: Scenario) -> dict[str, float]:
    sizes = scenario.sizes
    return {
        "backends": sizes.backends,
        "ingresses": sizes.ingresses,
        "tenants": sizes.tenants,
        "requests_per_s": sizes.requests_per_s,
        "hollow": sizes.hollow,
        "real": sizes.real,
        "real_requests_per_s": sizes.real_requests_per_s,
        "workers": sizes.workers,
        "zones": sizes.zones,
        "duration_s": scenario.duration_s,
    }


def _resident_measures(parts: Parts, hollow_count: int) -> dict[str, float]:
    """Return the measures of resident memory: the mean of the hollow ingresses, the largest real one."""
    measures: dict[str, float] = {}
    if parts.workers:
        total = sum(worker.measure_resident_bytes() for worker in parts.workers)
        measures["resident_mb"] = total / BYTES_PER_MEGABYTE / hollow_count
    if parts.real_ingresses:
        largest = max(ingress.measure_usage().resident_bytes for ingress in parts.real_ingresses.values())
        measures["real_resident_mb"] = largest / BYTES_PER_MEGABYTE
    return measures


def _first_error(errors: BaseExceptionGroup[ScaleError]) -> ScaleError:
    """Return the first error of a group, which may be nested."""
    error: BaseException = errors
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, ScaleError)
    return error


async def run_scenario(options: RunOptions, timeout_s: float) -> Result:
    """Run a scenario; raise ScaleError on a failure or a timeout.  SIGTERM ends the run as Ctrl-C does."""
    task = asyncio.current_task()
    assert task is not None
    with contextlib.suppress(RuntimeError, ValueError):
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(timeout_s):
            return await ScenarioRun(options).run()
    except TimeoutError:
        raise ScaleError(f"the run did not end within {timeout_s:g} s") from None
