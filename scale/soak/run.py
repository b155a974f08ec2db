"""Plays one soak run: starts a real ingress, the stand-ins and the bad clients, and sends the signals."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import psutil

from scale.real import find_free_address
from scale.soak.books import DEDUPLICATION_WINDOW_S, Books, Semantics
from scale.soak.clients import LeavingClient, UsualClient
from scale.soak.commands import CLASS_BY_SEMANTICS
from scale.soak.fleet import SoakFleet
from scale.soak.plan import DURATION_S, SoakPlan
from scale.soak.shared_connections import OpenIdClient, SharedConnectionClient
from scale.standins.clients import ping

USUAL_CLIENT_COUNT = 8
LEAVING_CLIENT_COUNT = 3
SHARED_CLIENT_COUNT = 2
LONGEST_DEADLINE_S = 2.0
KILL_DELAY_S = 0.7  # the earliest SIGKILL comes so long after SIGTERM, beyond the longest deadline
ACCEPT_AFTER_SIGTERM_S = 0.3  # new connections come for so long after SIGTERM
FLOOD_START_S = 0.5
START_TIMEOUT_S = 20.0
LAST_ANSWERS_S = 3.0  # for the last requests of a run that does not end by a signal
MEMORY_PERIOD_S = 0.02
LAG_PERIOD_S = 0.01
MEGABYTE = 1_000_000
SETTINGS = {
    "balancers": 1,
    "self-index": 0,
    "zone": "a",
    "tick-s": 0.002,
    "membership-mode": "pushed",
    "categories": [
        {
            "name": CLASS_BY_SEMANTICS[semantics],
            "aim-s": 1.0,
            "give-up-s": LONGEST_DEADLINE_S,
            "importance": 1.0,
            "semantics": semantics.value,
            "key-scope": "cell",
            "dedup-window-s": DEDUPLICATION_WINDOW_S,
        }
        for semantics in Semantics
    ],
    "contracts": [{"name": "basic", "refill": 1000.0, "burst": 2000.0}],
    "limits": {"max-attempts": 4, "connect-timeout-s": 0.25, "keepalive-s": 15.0},
    "rules": {"drain-grace-s": 1.0},
    "family-info": {},
}


class SoakRun:
    """One run; its books tell what happened."""

    def __init__(self, plan: SoakPlan, project: Path, start_command: str) -> None:
        """Create a run of the project's ingress, started by the shell command."""
        self.plan = plan
        self.books = Books(memory_limit_bytes=plan.memory_mb * MEGABYTE)
        self.address = find_free_address()
        self.log = ""
        self._project = project
        self._start_command = start_command
        self._rng = random.Random(plan.seed)
        self._fleet = SoakFleet(plan, self.books)
        self._stop = asyncio.Event()
        self._is_ending = False

    async def play(self) -> Books:
        """Play the run and return its books."""
        await self._fleet.listen()
        with tempfile.TemporaryDirectory(prefix="scale-soak-") as folder:
            config = Path(folder) / "config.json"
            config.write_text(self._render_config(0), encoding="utf-8")
            log_path = Path(folder) / "log"
            with log_path.open("wb") as log:
                process = await self._start(config, log.fileno())
            try:
                if await self._is_serving(process):
                    await self._drive(process, config)
                else:
                    self.books.unexpected_exits.append("did not start")
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
                self.log = log_path.read_text(encoding="utf-8", errors="replace")
        self._fleet.close()
        return self.books

    async def _drive(self, process: asyncio.subprocess.Process, config: Path) -> None:
        usual = [UsualClient(n, self.address, self.books, self._rng) for n in range(USUAL_CLIENT_COUNT)]
        leaving = [LeavingClient(n, self.address, self.books, self._rng) for n in range(LEAVING_CLIENT_COUNT)]
        shared_count = SHARED_CLIENT_COUNT if self.plan.has_shared_connections else 0
        shared = [
            SharedConnectionClient(n, self.address, self.books, self._rng, self.plan.max_requests_at_once)
            for n in range(shared_count)
        ]
        open_id_client = OpenIdClient(self.address, self.books, self._rng)
        async with asyncio.TaskGroup() as tasks:
            watchers = [tasks.create_task(self._watch(process)), tasks.create_task(self._watch_own_lag())]
            bad_clients = tasks.create_task(self._run_bad_clients())
            reloads = tasks.create_task(self._reload(process, config))
            tasks.create_task(self._fleet.run_replacements())
            clients = [tasks.create_task(client.run(self._stop)) for client in usual]
            clients += [tasks.create_task(client.run(self._stop)) for client in leaving]
            clients += [tasks.create_task(client.run(self._stop)) for client in shared]
            clients.append(tasks.create_task(open_id_client.run(self._stop)))
            await asyncio.sleep(DURATION_S)
            await reloads
            if self.plan.ends_by_sigterm:
                for client in shared:
                    client.may_cross_close = True
                await self._terminate(process, usual)
            self._stop.set()
            await asyncio.wait(clients, timeout=LAST_ANSWERS_S)
            self._is_ending = True
            await bad_clients
            for watcher in watchers:
                watcher.cancel()

    async def _terminate(self, process: asyncio.subprocess.Process, usual: list[UsualClient]) -> None:
        """Send SIGTERM, and SIGKILL at the earliest time; clients use open connections until then."""
        self._is_ending = True
        process.terminate()
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        for client in usual:
            client.may_connect = False
        with contextlib.suppress(TimeoutError):
            timeout_s = LONGEST_DEADLINE_S + KILL_DELAY_S - ACCEPT_AFTER_SIGTERM_S
            code = await asyncio.wait_for(process.wait(), timeout_s)
            if code:
                self.books.unexpected_exits.append(f"code {code} after SIGTERM")
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Record the peak memory, and an end that nobody asked for."""
        info = psutil.Process(process.pid)
        while True:
            if process.returncode is not None:
                if not self._is_ending:
                    self.books.unexpected_exits.append(f"code {process.returncode}")
                return
            with contextlib.suppress(psutil.Error):
                self.books.peak_memory_bytes = max(self.books.peak_memory_bytes, info.memory_info().rss)
            await asyncio.sleep(MEMORY_PERIOD_S)

    async def _watch_own_lag(self) -> None:
        while True:
            slept_from = time.monotonic()
            await asyncio.sleep(LAG_PERIOD_S)
            lag_s = time.monotonic() - slept_from - LAG_PERIOD_S
            self.books.longest_own_lag_s = max(self.books.longest_own_lag_s, lag_s)

    async def _run_bad_clients(self) -> None:
        await asyncio.sleep(FLOOD_START_S)
        arguments = (*map(str, self.address), f"{DURATION_S}", str(self.plan.seed))
        bad_clients = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "scale.soak.bad_clients", *arguments, stderr=asyncio.subprocess.DEVNULL
        )
        try:
            await bad_clients.wait()
        finally:
            if bad_clients.returncode is None:
                bad_clients.kill()
                await bad_clients.wait()

    async def _reload(self, process: asyncio.subprocess.Process, config: Path) -> None:
        start = time.monotonic()
        for number, at_s in enumerate(self.plan.reload_times_s):
            await asyncio.sleep(max(0.0, start + at_s - time.monotonic()))
            config.write_text(self._render_config(1 - number % 2), encoding="utf-8")
            if process.returncode is None:
                process.send_signal(signal.SIGHUP)

    async def _start(self, config: Path, log: int) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self._start_command,
            cwd=self._project,
            env={
                "PATH": "/usr/local/bin:/usr/bin:/bin",
                "EDGE_CONFIG": str(config),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    async def _is_serving(self, process: asyncio.subprocess.Process) -> bool:
        """Wait until the process answers PING; return False if it ends before or takes too long."""
        give_up_at = time.monotonic() + START_TIMEOUT_S
        while process.returncode is None and time.monotonic() < give_up_at:
            if await ping(self.address):
                return True
            await asyncio.sleep(MEMORY_PERIOD_S)
        return False

    def _render_config(self, agent_number: int) -> str:
        """Return a configuration with one of the agent's addresses."""
        discovery = self._fleet.agent_addresses[agent_number]
        servers = ",".join(entry.encode() for entry in self._fleet.entries)
        return json.dumps(
            {
                "name": "n0",
                "listen": f"{self.address[0]}:{self.address[1]}",
                "discovery": f"{discovery[0]}:{discovery[1]}",
                "seed": f"{self.plan.seed:016x}",
                "limits": {"cores": 1.0, "memory_mb": self.plan.memory_mb, "sockets": 1024},
                "known": json.loads(f'{{"version":1,"full":true,"servers":[{servers}]}}'),
                "settings": SETTINGS,
            }
        )
