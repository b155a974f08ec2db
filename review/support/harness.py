"""What the cases share: the record, the processes under test, the agent, the counter and a RESP2 client."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BACKEND_COUNT = 6
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_returned_ports: set[int] = set()


class CaseError(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line to the file only."""
        self._file.write(f"{time.monotonic() - self._start:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line to the file and to the standard output."""
        self.note(text)
        self._file.flush()
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port() -> int:
    """Return a port of the loopback address that nobody uses, and that was not returned before."""
    while True:
        with socket.socket() as sock:
            sock.bind((HOST, 0))
            port = int(sock.getsockname()[1])
        if port not in _returned_ports:
            _returned_ports.add(port)
            return port


def make_settings(**semantics: str) -> dict[str, Any]:
    """Return the settings of the wire page's example, for one ingress.

    `semantics` gives classes another effect: `save="unsafe"` marks applicant-save as unsafe to repeat.
    """
    return {
        "balancers": 1,
        "categories": [
            _category("slot-search", "safe", aim=1.5, give_up=4.0, importance=2.0),
            _category("applicant-save", semantics.get("save", "safe"), aim=2.0, give_up=6.0, importance=2.0),
            _category("book-confirm", "keyed", aim=0.6, give_up=2.5, importance=5.0),
        ],
        "clients": {"marks-retry": True},
        "contracts": [_contract("basic", 1.6, 16.0), _contract("agency-plus", 9.5, 28.0)],
        "family-info": {
            "cost-after": False,
            "count-fee": 0.02,
            "count-wait-s": 0.05,
            "counter": True,
            "mail-per-s": 0.0,
            "meter-s": 0.0,
            "most-units": 8,
        },
        "goal": {"whole": 0.55, "worst-class": 0.0, "worst-tenant": 0.25, "worst-window": 0.2},
        "limits": {
            "cancel": True,
            "connect-timeout-s": 0.25,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 400000,
            "keepalive-s": 30.0,
            "max-attempts": 5,
            "max-open": 20000,
            "max-retry-after-s": 1.0,
            "max-streams": 100,
            "peers": False,
            "probing": True,
            "retry-after": True,
            "second-copies": True,
        },
        "localities": ["hall-a"],
        "membership-mode": "pushed",
        "prices": {},
        "report": {"columns": ["active"], "how": "answers"},
        "rules": {
            "answer-slack-s": 0.008,
            "ask-within-s": 10.0,
            "cold-s": 15.0,
            "drain-grace-s": 1.0,
            "fall-s": 2.0,
            "overload-factor": 2.5,
            "start-capacity": 0.16,
        },
        "self-index": 0,
        "service-type": "gate",
        "shapes": ["std-2c"],
        "stage": 0,
        "stages": ["booking-fleet"],
        "tick-s": 0.002,
        "weight-kind": "rough",
        "zone": "hall-a",
    }


def _category(name: str, semantics: str, aim: float, give_up: float, importance: float) -> dict[str, Any]:
    return {
        "name": name,
        "semantics": semantics,
        "aim-s": aim,
        "give-up-s": give_up,
        "importance": importance,
        "dedup-window-s": 1.5 if semantics == "keyed" else 5.0,
        "key-scope": "cell" if semantics == "keyed" else "all",
        "late-worth": 0.2,
        "stream": False,
    }


def _contract(name: str, refill: float, burst: float) -> dict[str, Any]:
    return {
        "name": name,
        "refill": refill,
        "burst": burst,
        "at-once": 0,
        "cap-slack": 0.0,
        "ceiling-burst": 0.0,
        "hard-rate": 0.0,
        "excess-cost": 0.5,
        "over-worth": 0.0,
        "worth-factor": 1.0,
    }


@dataclass
class Deployment:
    """One ingress, and the servers that keep running in the case's own process."""

    port: int  # where the ingress listens, at the loopback address
    process: subprocess.Popen[bytes]
    servers: list[asyncio.Server]


class Platform:
    """Starts the programs of a case as processes of their own, and ends all of them."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen[bytes]] = []

    def start_backends(self, count: int, *options: str) -> list[str]:
        """Start the stand-ins of `count` backends in one process, and return their addresses."""
        addresses = [f"{HOST}:{free_port()}" for _ in range(count)]
        self._start(
            [sys.executable, "-m", "review.support.backends", *options, *addresses],
            self.folder / "backends.log",
        )
        for address in addresses:
            self._await_port(address)
        return addresses

    def start_ingress(self, config: dict[str, Any]) -> subprocess.Popen[bytes]:
        """Start an ingress by `run` of the deploy file, and wait until it answers PING."""
        path = self.folder / f"{config['name']}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        temporary = self.folder / f"{config['name']}-tmp"
        temporary.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = os.environ | {
            "EDGE_NAME": config["name"],
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        process = self._start(["/bin/sh", "-c", run], self.folder / f"{config['name']}.log", environment)
        self._await_pong(config["listen"])
        return process

    def _start(
        self, command: list[str], log: Path, environment: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        with log.open("ab") as output:
            process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=output, stderr=output)
        self.processes.append(process)
        return process

    def _await_port(self, address: str, wait_s: float = 20.0) -> None:
        host, _, port = address.rpartition(":")
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError), socket.create_connection((host, int(port)), 1.0):
                return
            time.sleep(0.05)
        raise CaseError(f"nobody listens at {address}")

    def _await_pong(self, address: str, wait_s: float = 30.0) -> None:
        host, _, port = address.rpartition(":")
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError), socket.create_connection((host, int(port)), 1.0) as sock:
                sock.sendall(b"*1\r\n$4\r\nPING\r\n")
                if sock.recv(7) == b"+PONG\r\n":
                    return
            time.sleep(0.05)
        raise CaseError(f"the ingress at {address} is not ready")

    def read_backend_log(self) -> list[list[str]]:
        """Return the words of each line that the backends wrote, and add the lines to the record.

        `run ID TIME` says that a request has arrived whole, `second ID TIME MS` that its answer was sent once
        more, so many milliseconds after the first.
        """
        lines = (self.folder / "backends.log").read_text(encoding="utf-8").splitlines()
        for line in lines:
            self.record.note(f"backends: {line}")
        return [line.split() for line in lines]

    def copy_log(self, name: str) -> None:
        """Copy the log of a process into the record."""
        path = self.folder / f"{name}.log"
        if path.exists():
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines()[-200:]:
                self.record.note(f"log {name}: {line}")

    def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def start_deployment(
    platform: Platform, settings: dict[str, Any], backend_options: list[str], **limits: float
) -> Deployment:
    """Start backends, discovery, the counter and one ingress before them."""
    backends = platform.start_backends(BACKEND_COUNT, *backend_options)
    listen, discovery, counter = (f"{HOST}:{free_port()}" for _ in range(3))
    servers = [await serve_agent(discovery, backends), await serve_counter(counter)]
    config = make_config(listen, discovery, counter, backends, settings, **limits)
    process = await asyncio.to_thread(platform.start_ingress, config)
    return Deployment(int(listen.rpartition(":")[2]), process, servers)


def run_case(folder: Path, play: Callable[[Record, Platform, bool], Coroutine[Any, Any, int]]) -> int:
    """Play a case once, without its disruption if TROUBLE is 0, and return its exit code."""
    record = Record(folder)
    platform = Platform(record)

    async def play_and_end() -> int:
        try:
            return await play(record, platform, os.environ.get("TROUBLE", "1") != "0")
        finally:
            platform.copy_log("n0")
            platform.close()  # before the stand-ins of this process, which the ingress would call again

    try:
        return asyncio.run(play_and_end())
    except CaseError as error:
        record.say(f"could not run: {error}")
        return COULD_NOT_RUN
    except Exception:  # noqa: BLE001  an error of the case itself must not look like a broken rule
        record.say(f"could not run: {traceback.format_exc()}")
        return COULD_NOT_RUN
    finally:
        record.close()


def make_config(
    listen: str, discovery: str, counter: str, backends: list[str], settings: dict[str, Any], **limits: float
) -> dict[str, Any]:
    """Return the configuration of one ingress that knows these backends."""
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{random.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
        "counter": counter,
        "known": make_list(backends),
        "settings": settings,
    }


def make_list(backends: list[str], version: int = 41) -> dict[str, Any]:
    """Return the complete list of the backends in discovery's form."""
    return {
        "version": version,
        "full": True,
        "servers": [
            {
                "id": f"s-{index:08x}",
                "addr": address,
                "zone": "hall-a",
                "kind": "std-2c",
                "cell": 0,
                "state": "ready",
                "weight": 1.0,
                "started_ms": 0,
            }
            for index, address in enumerate(backends)
        ],
    }


async def serve_agent(address: str, backends: list[str]) -> asyncio.Server:
    """Serve the endpoint list over HTTP/1.1; it does not change."""
    whole = json.dumps(make_list(backends)).encode()
    nothing = json.dumps({"version": 41, "full": False, "servers": []}).encode()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split()[1]
                body = whole
                if "after=41" in target:
                    await asyncio.sleep(int(target.partition("wait_ms=")[2] or 0) / 1000)
                    body = nothing
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(handle, host, int(port))


async def serve_counter(address: str) -> asyncio.Server:
    """Serve the counter: `add NAME AMOUNT LIFE` is answered with `ok TOTAL`."""
    totals: dict[bytes, tuple[float, float]] = {}

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                words = (await reader.readuntil(b"\r\n")).split()
                if words[0] == b"ping":
                    writer.write(b"pong\r\n")
                    continue
                now = time.monotonic()
                total, end = totals.get(words[1], (0.0, 0.0))
                if now >= end:
                    total, end = 0.0, now + min(60.0, float(words[3]) / 1000)
                total += float(words[2])
                totals[words[1]] = total, end
                writer.write(b"ok %s\r\n" % f"{total:.7g}".encode())
        writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(handle, host, int(port))


def encode_command(*words: bytes) -> bytes:
    """Return a command in RESP2."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def encode_request(
    request_id: str, request_class: str, customer: int, wait_ms: int, body: bytes = b""
) -> bytes:
    """Return a client's request in RESP2; one of a class that is not safe to repeat has to have a body."""
    fields = f"c={request_class},t=agency-plus,d={wait_ms}"
    if request_class == "book-confirm":
        fields += f",k={request_id}"
    fields += ",units=1,spread=1,first=0"
    verb = b"API.WRITE" if body else b"API.READ"
    return encode_command(
        verb, b"%016x" % customer, request_id.encode(), fields.encode(), *([body] if body else [])
    )


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read one answer: a bulk string's value, or an error line with its leading dash."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] != b"$":
        return line[:-2]
    size = int(line[1:-2])
    return (await reader.readexactly(size + 2))[:-2]


def read_memory_mb(process_id: int) -> float:
    """Return the anonymous memory of a process in MB, without files and shared libraries."""
    status = Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    fields = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
    return int(fields["RssAnon"].split()[0]) / 1024
