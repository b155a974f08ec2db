"""Discovery: the list of backends, kept up to date by a watch on the agent."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

import aiohttp

from mulleinhall.interface import Backend, ListKind, Readiness

log = logging.getLogger(__name__)

# Guards against a connection to the agent that fell silent: meanwhile backends leave and come, and nothing
# tells of it.  What is new comes at once, so a short wait costs no more than a small call now and then.
WAIT_MS = 1_000  # of a watch
GRACE = 2.5  # s: an agent answers at once, or once the wait is over; a call that waits its turn may take 2 s
ASK_TIMEOUT = 3.0  # s for a call that does not wait, its turn included
FIRST_PAUSE = 0.1  # s, at most, before the first try after a failure; each further failure doubles it
MOST_PAUSE = 1.0  # s, at most, while the agent is silent: to ask it costs nobody else
# Where lists are pushed no call waits its turn: an agent that has not answered by then has fallen silent, and
# what it holds counts as told all the while, 4 s after SIGHUP or 6 s after the silence began.
PUSHED_GRACE, PUSHED_TIMEOUT, PUSHED_PAUSE = 0.5, 1.0, 0.25  # s: in place of GRACE, ASK_TIMEOUT, MOST_PAUSE
MOST_BYTES = 4 * 1024 * 1024  # of an answer: some ten thousand backends
FIRST_CROWDED = 0.8  # s: the same where discovery turns calls away; each one costs the others a turn
MOST_CROWDED = 12.8  # s: some forty ingresses then bring no more calls than it can take meanwhile


@dataclass(frozen=True, slots=True)
class Listing:
    """One answer: the version, whether it holds the whole list, the entries and their addresses."""

    version: int
    full: bool
    backends: tuple[Backend, ...]
    addresses: dict[str, tuple[str, int]]


def read_address(text: str) -> tuple[str, int]:
    """An IPv4 address and a port; ValueError otherwise.  Guards the sockets: names are looked up nowhere,
    and what is none fails with errors of all kinds once it is connected to."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal()) or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address and port")
    return str(IPv4Address(host)), int(port)


def _read_entry(row: Any) -> tuple[Backend, tuple[str, int]]:
    address = read_address(row["addr"])
    if not address[1]:
        raise ValueError("addr: no port")
    name, started, weight = row["id"], row.get("started_ms") or 0, row.get("weight", 1.0)
    if not isinstance(name, str) or not name:
        raise ValueError(f"id: {name!r}")
    if not 0 <= started < 1e15 or not 0 <= weight < 1e9:
        raise ValueError("started_ms or weight is out of range")
    return Backend(name, row.get("zone", ""), row.get("kind", ""), row.get("cell", 0),
                   Readiness(row["state"]), float(weight), started / 1000), address


def read_listing(body: Any) -> Listing:
    """Reads an answer.  An entry that makes no sense is skipped; ValueError if the whole does not."""
    if not isinstance(body, dict) or not isinstance(body.get("servers"), list):
        raise ValueError("no list of servers")
    version = body.get("version")
    if isinstance(version, bool) or not isinstance(version, int):
        raise ValueError(f"version: {version!r}")
    backends, addresses = [], {}
    for row in body["servers"]:
        try:
            backend, address = _read_entry(row)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("list version %s: entry skipped: %s: %s", version, type(error).__name__, error)
            continue
        backends.append(backend)
        addresses[backend.id] = address
    return Listing(version, bool(body.get("full")), tuple(backends), addresses)


def pause(failures: int, crowded: bool, rng: random.Random, longest: float = MOST_PAUSE) -> float:
    """Exponential backoff with full jitter.  Guards discovery against all ingresses at once: with equal
    pauses they come again together, and a service that is overbooked never gets free."""
    first, most = (FIRST_CROWDED, MOST_CROWDED) if crowded else (FIRST_PAUSE, longest)
    return rng.uniform(0.0, min(most, first * 2.0 ** min(failures, 32)))


class Unavailable(Exception):
    """Discovery gave no answer; the list that is held is as good as before."""


class Crowded(Unavailable):
    """Discovery turned the call away."""


class Discovery:
    """Follows the agent for as long as `run` runs; each change goes to `told`."""

    def __init__(self, address: tuple[str, int], told: Callable[[ListKind, Listing], None],
                 rng: random.Random, version: int | None = None, pushed: bool = False) -> None:
        self.url = f"http://{address[0]}:{address[1]}/api/targets"
        self.told, self.rng = told, rng
        self.version = version  # of the list that is held here; None: ask for all of it
        self.grace, self.timeout, self.longest = (
            (PUSHED_GRACE, PUSHED_TIMEOUT, PUSHED_PAUSE) if pushed else (GRACE, ASK_TIMEOUT, MOST_PAUSE))

    async def run(self) -> None:
        failures = 0
        connector = aiohttp.TCPConnector(limit=2, keepalive_timeout=60.0)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                try:
                    await self._ask(session)
                    failures = 0
                except Exception as error:
                    # Guards against an agent that is silent, gone or speaks nonsense, and against a fault in
                    # what is done with a list: the last one is kept and tries are spaced.  The whole list,
                    # which costs discovery most, is asked for only where the one held here is in doubt.
                    if failures in (0, 10, 100, 1000):
                        log.warning("discovery: %s: %s", type(error).__name__, error)
                    if not isinstance(error, Unavailable):
                        self.version = None
                    crowded = isinstance(error, Crowded)
                    await asyncio.sleep(pause(failures, crowded, self.rng, self.longest))
                    failures += 1

    async def _ask(self, session: aiohttp.ClientSession) -> None:
        query, limit = "", self.timeout
        if self.version is not None:
            query, limit = f"?after={self.version}&wait_ms={WAIT_MS}", WAIT_MS / 1000 + self.grace
        try:
            async with session.get(self.url + query, timeout=aiohttp.ClientTimeout(total=limit)) as answer:
                if answer.status != 200:
                    raise Crowded(f"status {answer.status}")
                body = b""
                async for part in answer.content.iter_any():
                    body += part
                    if len(body) > MOST_BYTES:
                        # Guards the memory against an answer that never ends.
                        raise ValueError("the list is too long")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise Unavailable(f"{type(error).__name__}: {error}") from None
        listing = read_listing(json.loads(body))
        if not listing.full and (self.version is None or listing.version < self.version):
            # Guards against an agent that began anew: its changes don't apply to the list held here.
            raise ValueError(f"changes of version {listing.version} for version {self.version}")
        self.version = listing.version
        if listing.full:
            self.told(ListKind.REPLACE, listing)
        elif listing.backends:
            self.told(ListKind.UPDATE, listing)
