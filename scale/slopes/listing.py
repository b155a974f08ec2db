"""The list of backends as the agent sends it, its changes, and the decoder of the measured version."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

from ingress.discovery import endpoint_list
from ingress.interface import Backend, Readiness
from scale.slopes.settings import ZONES

Entry = dict[str, Any]
BACKENDS_PER_CELL = 3
FIRST_VERSION = 1
KINDS = ("standard", "large")
EMPTY_LIST: Entry = {"version": 0, "full": False, "servers": []}


def build_entry(number: int) -> Entry:
    """Return the entry of one backend in the list."""
    return {
        "id": f"s-{number * 0x9E3779B1 & 0xFFFFFFFF:08x}",
        "addr": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:6379",
        "zone": ZONES[number % len(ZONES)],
        "kind": KINDS[number % len(KINDS)],
        "cell": number // BACKENDS_PER_CELL,
        "state": "ready",
        "weight": 1.0,
        "started_ms": 0,
    }


def encode_answer(version: int, is_full: bool, entries: list[Entry]) -> bytes:
    """Return an answer of the agent, which holds the complete list or changed entries."""
    answer = {"version": version, "full": is_full, "servers": entries}
    return json.dumps(answer, separators=(",", ":")).encode()


def _decode_without_parser(body: bytes) -> tuple[Backend, ...]:
    """Decode an answer without the code of the measured version."""
    rows = json.loads(body)["servers"]
    return tuple(
        Backend(
            row["id"],
            row["zone"],
            row["kind"],
            row["cell"],
            Readiness(row["state"]),
            row["weight"],
            row["started_ms"] / 1000,
        )
        for row in rows
    )


def _decode_from_bytes(body: bytes) -> tuple[Backend, ...]:
    return endpoint_list.parse_endpoint_list(body).backends


def _decode_from_json(body: bytes) -> tuple[Backend, ...]:
    return endpoint_list.parse_endpoint_list(json.loads(body)).backends


def find_decoder() -> Callable[[bytes], tuple[Backend, ...]]:
    """Return the function that decodes answers, with the code of the measured version where it can.

    `parse_endpoint_list` takes bytes in some versions and decoded JSON in others; some versions lack it.
    """
    if not hasattr(endpoint_list, "parse_endpoint_list"):
        return _decode_without_parser
    try:
        _decode_from_bytes(json.dumps(EMPTY_LIST).encode())
    except (TypeError, ValueError, AttributeError):
        return _decode_from_json
    return _decode_from_bytes


class BackendList:
    """The list of backends, and a seeded series of changes of one entry each that nearly keeps its length."""

    def __init__(self, count: int, seed: int) -> None:
        self.entries = [build_entry(number) for number in range(count)]
        self.version = FIRST_VERSION
        self._initial_count = count
        self._change_count = 0
        self._rng = random.Random(seed)
        self._draining_entries: list[Entry] = []

    def encode_full_list(self) -> bytes:
        """Return the answer with the complete list."""
        return encode_answer(self.version, True, self.entries)

    def encode_next_change(self, now: float) -> bytes:
        """Make the next change, and return the answer with it.

        In turn, a backend is added, begins to drain, is removed, and is restarted.
        """
        step = self._change_count % 4
        self._change_count += 1
        self.version += 1
        if step == 0:
            entry = build_entry(self._initial_count + self._change_count)
            self.entries.append(entry)
        elif step == 1:
            entry = self._change_random_entry(state="draining")
            self._draining_entries.append(entry)
        elif step == 2:
            entry = self._remove(self._draining_entries.pop())
        else:
            entry = self._change_random_entry(started_ms=int(now * 1000))
        return encode_answer(self.version, False, [entry])

    def _change_random_entry(self, **changes: object) -> Entry:
        index = self._rng.randrange(len(self.entries))
        entry = self.entries[index] = self.entries[index] | changes
        return entry

    def _remove(self, entry: Entry) -> Entry:
        self.entries = [other for other in self.entries if other["id"] != entry["id"]]
        return entry | {"state": "gone"}
