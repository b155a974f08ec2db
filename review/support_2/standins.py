"""Stand-ins of the review: discovery agent, backends, clients, counter, and the start of a real ingress.

Only the standard library is used.  Everything listens on 127.0.0.1, on free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CORES = 2  # of a backend


class Record:
    """The file `record.txt`: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def has_trouble() -> bool:
    """Return whether the disruption takes place; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


def encode_array(*items: bytes) -> bytes:
    """Return a RESP2 array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one command, an array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    items = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        items.append((await reader.readexactly(size + 2))[:-2])
    return items


async def read_reply(reader: asyncio.StreamReader) -> Any:
    """Read one reply: text of a line with its type, the bytes of a bulk string, a list, or None."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line[:1] == b"$":
        size = int(line[1:])
        return None if size < 0 else (await reader.readexactly(size + 2))[:-2]
    if line[:1] == b"*":
        return [await read_reply(reader) for _ in range(int(line[1:]))]
    return line.decode()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# Discovery


class Agent:
    """The discovery agent of PROTOCOL-gaplanding.md: complete lists, changes, and long polls."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.answers_whole_lists = False  # a watch may be answered with the changes or with the whole list
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set_entries(self, entries: list[dict[str, Any]]) -> None:
        """Set the list that the ingresses start with."""
        self.entries = {entry["id"]: entry for entry in entries}

    def change(self, entry: dict[str, Any]) -> None:
        """Add, change or (state `gone`) remove one entry, as one new version of the list."""
        self.version += 1
        self.changes.append((self.version, entry))
        if entry["state"] == "gone":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        self.changed.set()
        self.changed = asyncio.Event()

    def complete_list(self) -> dict[str, Any]:
        """Return the complete list in discovery's form."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def _changes_since(self, version: int) -> dict[str, Any]:
        newest = {entry["id"]: entry for number, entry in self.changes if number > version}
        return {"version": self.version, "full": False, "servers": list(newest.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split(b" ")[1].decode()).query)
                body = json.dumps(await self._answer(query)).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                await writer.drain()
        writer.close()

    async def _answer(self, query: dict[str, list[str]]) -> dict[str, Any]:
        if "after" not in query:
            return self.complete_list()
        after = int(query["after"][0])
        if self.version <= after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query.get("wait_ms", ["0"])[0]) / 1000)
        if self.answers_whole_lists and self.version > after:
            return self.complete_list()
        return self._changes_since(after)


# Backends


class Backend:
    """A backend: it begins a command with its last byte, works for `work_s`, and answers in order."""

    def __init__(self, name: str, cell: int, zone: str, work_s: float, record: Record) -> None:
        self.name = name
        self.cell = cell
        self.zone = zone
        self.work_s = work_s
        self.record = record
        self.port = 0
        self.started_ms = 0
        self.is_hung = False
        self.is_replaced = False
        self.cold_s = 0.0  # 0: it is warm, and its work takes as long as it says
        self.cold_from = 1.0
        self.in_hand = 0
        self.on_arrival: Callable[[Backend, dict[str, str], bytes], None] | None = None
        self.arrivals: list[tuple[float, Backend, dict[str, str], bytes]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port, or on a free one."""
        self.server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 20, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Take no new connections; the open ones stay open."""
        self.server.close()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry of the endpoint list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": self.zone,
            "kind": "std-2c",
            "cell": self.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                command = await read_command(reader)
                if self.is_replaced:  # another machine has the address, and does not know the connection
                    reset_connection(writer)
                    return
                if command == [b"PING"]:
                    writer.write(b"+PONG\r\n")
                    continue
                if command[0] not in (b"API.READ", b"API.WRITE"):
                    writer.write(b"+OK\r\n" if command[0] in (b"CLIENT", b"SELECT") else b"-ERR unknown\r\n")
                    continue
                await self._execute(command, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def capacity(self) -> float:
        """Return the present share of the full capacity: a cold backend grows evenly over `cold_s`."""
        if not self.cold_s:
            return 1.0
        age = time.time() - self.started_ms / 1000
        return min(1.0, self.cold_from + (1.0 - self.cold_from) * age / self.cold_s)

    async def _work(self, work_s: float) -> None:
        """Do the work of one request on `CORES` cores that all requests in hand share."""
        if not self.cold_s:
            await asyncio.sleep(work_s)
            return
        left = work_s
        self.in_hand += 1
        try:
            while left > 0:
                at = time.monotonic()
                await asyncio.sleep(0.005)
                speed = self.capacity() * min(1.0, CORES / self.in_hand)
                left -= (time.monotonic() - at) * speed
        finally:
            self.in_hand -= 1

    async def _execute(self, command: list[bytes], writer: asyncio.StreamWriter) -> None:
        fields = dict(pair.split("=", 1) for pair in command[3].decode().split(","))
        request_id = command[2].decode()
        self.arrivals.append((self.record.now(), self, fields, command[2]))
        self.record.write(
            f"backend {self.name} cell={self.cell} began id={request_id} c={fields['c']} "
            f"k={fields.get('k', '-')}"
        )
        if self.on_arrival is not None:
            self.on_arrival(self, fields, command[2])
        await self._work(self.work_s)
        if self.is_hung:
            self.record.write(f"backend {self.name} is silent, no answer to id={request_id}")
            await asyncio.Event().wait()
        self.record.write(f"backend {self.name} cell={self.cell} ended id={request_id}")
        value = b"value of %b" % command[2]
        writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$10\r\ninflight=1\r\n" % (len(value), value))
        await writer.drain()


# Counter


class Counter:
    """The counter: adds to named numbers."""

    def __init__(self) -> None:
        self.totals: dict[str, float] = {}
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                words = (await reader.readuntil(b"\r\n")).decode().split()
                if words[:1] == ["ping"]:
                    writer.write(b"pong\r\n")
                elif words[:1] == ["add"] and len(words) == 4:
                    self.totals[words[1]] = self.totals.get(words[1], 0.0) + float(words[2])
                    writer.write(f"ok {self.totals[words[1]]:.3f}\r\n".encode())
                else:
                    writer.write(b"error\r\n")
        writer.close()


# Ingresses

PLANS = [
    {"name": "basic", "refill": 40.0, "burst": 200.0, "worth-factor": 0.72, "excess-cost": 0.5},
    {"name": "agency-plus", "refill": 60.0, "burst": 300.0, "worth-factor": 1.8, "excess-cost": 1.0},
]
CLASSES = [
    {
        "name": "slot-search",
        "aim-s": 1.5,
        "give-up-s": 4.0,
        "importance": 2.0,
        "late-worth": 0.0,
        "semantics": "safe",
        "key-scope": "all",
        "dedup-window-s": 5.0,
    },
    {
        "name": "book-confirm",
        "aim-s": 0.6,
        "give-up-s": 2.5,
        "importance": 5.0,
        "late-worth": 0.2,
        "semantics": "keyed",
        "key-scope": "cell",
        "dedup-window-s": 1.5,
    },
]


def make_settings(index: int, count: int, classes: list[dict[str, Any]] | None = None) -> dict[str, Any]:
    """Return settings with the figures of the site `perth-east`; the plans have room for the test."""
    return {
        "balancers": count,
        "self-index": index,
        "zone": "hall-a",
        "localities": ["hall-a", "hall-b", "hall-c"],
        "tick-s": 0.002,
        "membership-mode": "pushed",
        "categories": classes or CLASSES,
        "clients": {"marks-retry": True},
        "contracts": PLANS,
        "family-info": {"counter": True, "count-wait-s": 0.05, "most-units": 8},
        "limits": {
            "cancel": True,
            "connect-timeout-s": 0.25,
            "keepalive-s": 30.0,
            "max-attempts": 5,
            "max-open": 20000,
            "max-retry-after-s": 1.0,
            "max-streams": 100,
            "probing": True,
            "retry-after": True,
            "second-copies": True,
        },
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
        "shapes": ["std-2c"],
        "stage": 0,
        "stages": ["booking-fleet"],
        "weight-kind": "none",
    }


class IngressProcess:
    """A real ingress, started by `run` of the deploy file."""

    def __init__(
        self, index: int, agent: Agent, counter: Counter, settings: dict[str, Any], directory: Path
    ) -> None:
        self.name = f"n{index}"
        self.port = find_free_port()
        self.directory = directory / self.name
        self.directory.mkdir()
        self.config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{agent.port}",
            "seed": f"{0x8C1F30D27A5BE964 + index + int(time.time()) % 1000003:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "counter": f"{HOST}:{counter.port}",
            "known": agent.complete_list(),
            "settings": settings,
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the program and wait until it answers PING."""
        path = self.directory / "config.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        variables = {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"],
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(self.directory),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.directory / "log.txt").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=os.environ | variables, stdout=log, stderr=log
            )
        for _ in range(300):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode_array(b"PING"))
                reply = await read_reply(reader)
                writer.close()
                if reply == "+PONG":
                    return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready: {self.read_log()[-2000:]}")

    def read_log(self) -> str:
        """Return what the process has logged."""
        return (self.directory / "log.txt").read_text(encoding="utf-8", errors="replace")

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class CaseError(Exception):
    """The case could not run."""


def make_request(
    request_id: str, class_name: str, wait_ms: int, customer: int, spread: int = 1, extra: str = ""
) -> bytes:
    """Return a request as a client sends it."""
    is_write = class_name != "slot-search"
    key = f",k={request_id[::-1]}" if is_write else ""
    fields = f"c={class_name},t=agency-plus,d={wait_ms}{key},units=1,spread={spread},first=0{extra}"
    words = [b"API.WRITE" if is_write else b"API.READ", b"%016x" % customer, request_id.encode()]
    return encode_array(*words, fields.encode(), *([b"body"] if is_write else []))


def run_case(folder: Path, body: Callable[[Record, Path], Awaitable[str | None]], limit_s: float) -> int:
    """Run a case: return 1 with the text of the broken rule, 0 if it held, 2 if the case could not run."""
    record = Record(folder / "record.txt")
    record.write(f"trouble={'yes' if has_trouble() else 'no'}")
    try:
        with tempfile.TemporaryDirectory() as directory:
            broken = asyncio.run(asyncio.wait_for(body(record, Path(directory)), limit_s))
    except Exception as error:  # noqa: BLE001
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        return 2
    finally:
        record.file.flush()
    record.write(f"verdict: {'broken: ' + broken if broken else 'held'}")
    record.close()
    print(f"broken: {broken}" if broken else "held")
    return 1 if broken else 0
