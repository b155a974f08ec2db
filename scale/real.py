"""Real ingresses: processes started by the `run` command of a project's deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import tempfile
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

import psutil

from scale.addresses import Address
from scale.errors import ScaleError
from scale.experiment.settings import REAL_INGRESS_MEMORY_MB, REAL_INGRESS_SOCKETS, ingress_settings
from scale.scenario import Scenario
from scale.standins.clients import ping

START_TIMEOUT_S = 20.0  # time for a started process to answer PING
STOP_SLACK_S = 1.5  # time beyond the longest deadline between SIGTERM and SIGKILL
POLL_PERIOD_S = 0.05
EXIT_COMMAND_NOT_FOUND = 127  # exit code of a shell that can't find the command


class RealIngressError(ScaleError):
    """A real ingress did not start, or its deploy file can't be used."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """The CPU time and the resident memory of one real ingress."""

    cpu_s: float  # so far, over all incarnations
    resident_bytes: int  # 0 while the process does not run


def read_run_command(project: Path) -> str:
    """Return the `run` command of the project's deploy file."""
    try:
        deploy = tomllib.loads((project / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        start_command = deploy["run"]
    except (OSError, KeyError, tomllib.TOMLDecodeError) as error:
        raise RealIngressError(f"--project: deploy/balancer.toml: {type(error).__name__}") from None
    if not isinstance(start_command, str):
        raise RealIngressError("--project: deploy/balancer.toml: run is not a string")
    if ".venv/" in start_command and not (project / ".venv").is_dir():
        raise RealIngressError(
            "the project's .venv is missing: run the `build` of its deploy/balancer.toml "
            "first, or give --real-command"
        )
    return start_command


def find_free_address() -> Address:
    """Return a loopback address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address: Address = probe.getsockname()
    return address


@dataclass(frozen=True, slots=True)
class RealSetup:
    """The parameters of one real ingress."""

    scenario: Scenario
    number: int  # number of the ingress in the fleet
    project: Path  # the checkout whose program is started
    start_command: str  # shell command that starts the process
    agent_address: Address
    counter_address: Address
    known_endpoints: str  # the initial endpoint list, as JSON text in the discovery agent's format


class RealIngress:
    """The process of one real ingress, which can be restarted."""

    def __init__(self, setup: RealSetup) -> None:
        self.setup = setup
        self.address = find_free_address()
        self.rng = random.Random(setup.scenario.seed + setup.number)
        self.work_folder = tempfile.TemporaryDirectory(prefix="scale-real-")
        self.process: asyncio.subprocess.Process | None = None
        self.ended_processes_cpu_s = 0.0  # CPU time of the incarnations that have ended
        self.kill_count = 0  # restarts in which the process did not end in time after SIGTERM

    def _render_config(self) -> str:
        setup = self.setup
        return json.dumps(
            {
                "name": f"n{setup.number}",
                "listen": _format_address(self.address),
                "discovery": _format_address(setup.agent_address),
                "seed": f"{self.rng.getrandbits(64):016x}",
                "limits": {
                    "cores": 1.0,
                    "memory_mb": REAL_INGRESS_MEMORY_MB,
                    "sockets": REAL_INGRESS_SOCKETS,
                },
                "counter": _format_address(setup.counter_address),
                "known": json.loads(setup.known_endpoints),
                "settings": ingress_settings(setup.scenario, setup.number),
            }
        )

    def _environment_variables(self, config: Path) -> dict[str, str]:
        return {
            "PATH": "/usr/local/bin:/usr/bin:/bin",
            "HOME": self.work_folder.name,
            "TMPDIR": self.work_folder.name,
            "EDGE_NAME": f"n{self.setup.number}",
            "EDGE_LISTEN": _format_address(self.address),
            "EDGE_DISCOVERY": _format_address(self.setup.agent_address),
            "EDGE_CONFIG": str(config),
            "PYTHONDONTWRITEBYTECODE": "1",
        }

    async def start(self) -> None:
        """Start the process and wait until it answers PING."""
        path = Path(self.work_folder.name) / "config.json"
        path.write_text(self._render_config(), encoding="utf-8")
        with (Path(self.work_folder.name) / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.setup.start_command,
                cwd=self.setup.project,
                env=self._environment_variables(path),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        await self._wait_until_serving()

    async def _wait_until_serving(self) -> None:
        give_up_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < give_up_at:
            if not self.is_running:
                break
            if await ping(self.address):
                return
            await asyncio.sleep(POLL_PERIOD_S)
        raise RealIngressError(self._describe_start_failure())

    def _describe_start_failure(self) -> str:
        code = None if self.process is None else self.process.returncode
        name = f"real ingress {self.setup.number}"
        if code == EXIT_COMMAND_NOT_FOUND:
            return f"{name}: its command was not found: run the `build` of deploy/balancer.toml first"
        if code is None:
            return f"{name}: no answer to PING within {START_TIMEOUT_S:g} s"
        return f"{name}: ended with code {code}: {self._last_log_line()}"

    def _last_log_line(self) -> str:
        text = (Path(self.work_folder.name) / "log").read_text(encoding="utf-8", errors="replace")
        return (text.strip().splitlines() or ["nothing logged"])[-1][:200]

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def measure_usage(self) -> ProcessUsage:
        """Return the CPU time over all incarnations and the present resident memory."""
        if self.process is None or not self.is_running:
            return ProcessUsage(self.ended_processes_cpu_s, 0)
        try:
            process = psutil.Process(self.process.pid)
            times = process.cpu_times()
            memory = process.memory_info()
        except psutil.NoSuchProcess:
            return ProcessUsage(self.ended_processes_cpu_s, 0)
        return ProcessUsage(self.ended_processes_cpu_s + times.user + times.system, memory.rss)

    def terminate(self) -> None:
        """Send SIGTERM to begin a planned restart."""
        if self.process is not None and self.is_running:
            self.process.terminate()

    async def wait_until_ended(self) -> bool:
        """Wait for the exit after SIGTERM; return False if the process had to be killed at the time limit."""
        if self.process is None:
            return True
        cpu_s = self.measure_usage().cpu_s
        longest_deadline_s = max(request_class.deadline_s for request_class in self.setup.scenario.classes)
        try:
            await asyncio.wait_for(self.process.wait(), longest_deadline_s + STOP_SLACK_S)
        except TimeoutError:
            self.kill_count += 1
            await self.kill()
            return False
        else:
            return True
        finally:
            self.ended_processes_cpu_s = cpu_s

    async def kill(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    async def close(self) -> None:
        """Kill the process and remove its working folder."""
        await self.kill()
        self.work_folder.cleanup()


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
