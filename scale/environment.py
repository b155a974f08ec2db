"""Record the conditions of a measurement: the machine's size and load, and the measured commit."""

from __future__ import annotations

import os
import platform
import subprocess
import time
from pathlib import Path
from types import TracebackType

import psutil

from scale.project import PACKAGE, check_project
from scale.results import Environment

BUSY_SHARE = 0.05  # share of a core; a process that uses more counts as busy
MIN_SPAN_S = 0.05  # shorter spans count as this long: CPU shares over them are not meaningful
GIB = 2**30
UNKNOWN_COMMIT = "unknown"


def _cpu_seconds_by_process() -> dict[tuple[int, float], float]:
    """Return the CPU seconds used so far by process, keyed by process id and creation time."""
    cpu_s: dict[tuple[int, float], float] = {}
    for process in psutil.process_iter(["pid", "create_time", "cpu_times"]):
        times = process.info["cpu_times"]
        if times is not None:
            cpu_s[process.info["pid"], process.info["create_time"]] = times.user + times.system
    return cpu_s


def _own_process_ids() -> set[int]:
    """Return the ids of this process, its ancestors and its descendants."""
    own_process = psutil.Process()
    related = [own_process, *own_process.parents(), *own_process.children(recursive=True)]
    return {process.pid for process in related}


class MachineObserver:
    """A context manager that observes the machine; `environment` is set when its block ends."""

    def __init__(self, note: str = "") -> None:
        self.note = note
        self.environment: Environment | None = None
        self._cpu_before: dict[tuple[int, float], float] = {}
        self._load_before = 0.0
        self._started_at = 0.0

    def __enter__(self) -> MachineObserver:
        self._load_before = os.getloadavg()[0]
        self._cpu_before = _cpu_seconds_by_process()
        self._started_at = time.monotonic()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.environment = self._observe()

    def result(self) -> Environment:
        """Return the observed environment; raise RuntimeError before the block has ended."""
        if self.environment is None:
            raise RuntimeError("the observation has not ended")
        return self.environment

    def _observe(self) -> Environment:
        """Return the environment over the block.

        A process that started during the block counts with all of its CPU time; one that has ended is left
        out.
        """
        span_s = max(time.monotonic() - self._started_at, MIN_SPAN_S)
        own_process_ids = _own_process_ids()
        shares = [
            (cpu_s - self._cpu_before.get(process, 0.0)) / span_s
            for process, cpu_s in _cpu_seconds_by_process().items()
            if process[0] not in own_process_ids
        ]
        busy_shares = [share for share in shares if share > BUSY_SHARE]
        return Environment(
            cores=psutil.cpu_count() or 1,
            memory_gb=round(psutil.virtual_memory().total / GIB, 1),
            python=platform.python_version(),
            load_before=round(self._load_before, 2),
            load_after=round(os.getloadavg()[0], 2),
            busy_others=len(busy_shares),
            busy_others_cores=round(sum(busy_shares), 2),
            note=self.note,
        )


def _run_git(project: Path, *arguments: str) -> str:
    """Return the output of a git command in the checkout."""
    command = ["git", "-C", str(project), *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()


def read_commit(project: Path) -> tuple[str, bool]:
    """Return the checkout's commit, and whether the package in the working tree differs from it.

    Where git or its repository is missing, the commit is `unknown` and counts as different.
    """
    check_project(project)
    try:
        commit = _run_git(project, "rev-parse", "HEAD")
        return commit, bool(_run_git(project, "status", "--porcelain", "--", PACKAGE))
    except (OSError, subprocess.CalledProcessError):
        return UNKNOWN_COMMIT, True
