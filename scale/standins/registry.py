"""The list of backends that the discovery agent serves, with its recent changes, in the agent's encoding."""

from __future__ import annotations

import json
import time
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from scale.addresses import Address

MAX_KEPT_CHANGES = 4096  # a call that asks for older changes gets the complete list
State = Literal["ready", "draining", "gone"]


@dataclass(frozen=True, slots=True)
class Entry:
    """The entry of one backend in the list."""

    id: str
    address: Address
    zone: str
    state: State = "ready"
    started_ms: int = 0
    kind: str = "std"
    cell: int = 0
    weight: float = 1.0

    def encode(self) -> str:
        """Return the entry as the JSON object that the agent sends."""
        return json.dumps(
            {
                "id": self.id,
                "addr": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "kind": self.kind,
                "cell": self.cell,
                "state": self.state,
                "weight": self.weight,
                "started_ms": self.started_ms,
            },
            separators=(",", ":"),
        )


@dataclass(frozen=True, slots=True)
class PublishedChange:
    """A published change of the list."""

    version: int
    """The version of the list with the change."""
    published_at: float
    """When it was published, on the monotonic clock."""
    entries: tuple[Entry, ...]


class Registry:
    """The list of backends and its recent changes.

    A response body is encoded only once for all callers that have the same version of the list.
    """

    def __init__(self, entries: Iterable[Entry] = (), answers_complete_lists: bool = False) -> None:
        """Create a list; it may answer with the complete list where the changes would do."""
        self.entries = {entry.id: entry for entry in entries}  # by id
        self.version = 1
        self.answers_complete_lists = answers_complete_lists
        self.changes: deque[PublishedChange] = deque(maxlen=MAX_KEPT_CHANGES)
        self._encoded_bodies: dict[int | None, bytes] = {}  # by the version that the caller has

    def publish(self, entries: Iterable[Entry]) -> PublishedChange:
        """Change some entries; an entry in the state `gone` is removed from the list."""
        change = PublishedChange(self.version + 1, time.monotonic(), tuple(entries))
        self.version = change.version
        self.changes.append(change)
        self._encoded_bodies.clear()
        for entry in change.entries:
            if entry.state == "gone":
                self.entries.pop(entry.id, None)
            else:
                self.entries[entry.id] = entry
        return change

    def encode_response_body(self, held_version: int | None) -> bytes:
        """Return the body of the response to a caller that has a version of the list.

        The body contains the changes after that version.  It contains the complete list if the version is
        None or unknown, or if a change after it is no longer kept.
        """
        oldest_kept = self.changes[0].version if self.changes else self.version + 1
        if held_version is not None and not oldest_kept - 1 <= held_version <= self.version:
            held_version = None
        if self.answers_complete_lists and held_version != self.version:
            held_version = None
        if held_version not in self._encoded_bodies:
            self._encoded_bodies[held_version] = self._encode(held_version)
        return self._encoded_bodies[held_version]

    def _encode(self, held_version: int | None) -> bytes:
        if held_version is None:
            rows = list(self.entries.values())
        else:
            latest_entries: dict[str, Entry] = {}
            for change in reversed(self.changes):
                if change.version <= held_version:
                    break
                for entry in reversed(change.entries):
                    latest_entries.setdefault(entry.id, entry)
            rows = list(latest_entries.values())
        full = "true" if held_version is None else "false"
        servers = ",".join(row.encode() for row in rows)
        return f'{{"version":{self.version},"full":{full},"servers":[{servers}]}}'.encode()
