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


def encode_response_body(version: int, is_complete: bool, entries: list[Entry]) -> bytes:
    """Return the body of an agent's response with the complete list or with changed entries."""
    response = {"version": version, "full": is_complete, "servers": entries}
    return json.dumps(response, separators=(",", ":")).encode()


def _decode_without_parser(body: bytes) -> tuple[Backend, ...]:
    """Decode a response body without the code of the measured version."""
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
    """Return a function that decodes response bodies, if possible with the code of the measured version.

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
    """The list of backends, with seeded changes of one entry each that hardly change its length."""

    def __init__(self, count: int, seed: int) -> None:
        self.entries = [build_entry(number) for number in range(count)]
        self.version = FIRST_VERSION
        self._initial_count = count
        self._change_count = 0
        self._rng = random.Random(seed)
        self._draining_entries: list[Entry] = []

    def encode_complete_list(self) -> bytes:
        """Return the response body with the complete list."""
        return encode_response_body(self.version, True, self.entries)

    def encode_next_change(self, now: float) -> bytes:
        """Make the next change, and return the response body with it.

        The changes repeat in this order: a backend is added, one begins to drain, the draining one is
        removed, and one is restarted.
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
        return encode_response_body(self.version, False, [entry])

    def _change_random_entry(self, **changes: object) -> Entry:
        index = self._rng.randrange(len(self.entries))
        entry = self.entries[index] = self.entries[index] | changes
        return entry

    def _remove(self, entry: Entry) -> Entry:
        self.entries = [kept_entry for kept_entry in self.entries if kept_entry["id"] != entry["id"]]
        return entry | {"state": "gone"}
