"""Decode one entry of an endpoint list into the backend that it describes."""

from __future__ import annotations

import sys

import msgspec

from ingress.interface import Backend, Readiness
from ingress.network.addresses import PORT_COUNT, parse_packed_address

STARTED_MS_LIMIT = 1e15  # exclusive upper bound of `started_ms`, in milliseconds of Unix time
WEIGHT_LIMIT = 1e9  # exclusive upper bound of `weight`
# Most entries have these values.  All backends share one object for each, which saves memory in long lists.
DEFAULT_WEIGHT = 1.0
DEFAULT_STARTED_S = 0.0
READINESS_BY_STATE = {state.value: state for state in Readiness}


class EndpointEntry(msgspec.Struct, gc=False):
    """One backend in the JSON of an endpoint list; unknown fields are ignored."""

    id: str
    addr: str
    """IPv4 address and port."""
    state: str
    """The value of a member of `Readiness`."""
    zone: str | None = None
    kind: str | None = None
    cell: int | None = None
    weight: float = DEFAULT_WEIGHT
    """Capacity relative to other backends."""
    started_ms: float | None = None
    """Time of the last start in milliseconds of Unix time; 0 or None if the start was long ago."""


def check_entry(entry: EndpointEntry) -> int:
    """Check the fields and return the packed address; raise ValueError if a field is invalid."""
    address = parse_packed_address(entry.addr)
    if not address % PORT_COUNT:
        raise ValueError("addr: port is 0")
    if not entry.id:
        raise ValueError("id: empty")
    if entry.state not in READINESS_BY_STATE:
        raise ValueError(f"state: {entry.state!r} is unknown")
    if not 0 <= (entry.started_ms or 0) < STARTED_MS_LIMIT or not 0 <= entry.weight < WEIGHT_LIMIT:
        raise ValueError("started_ms or weight is out of range")
    return address


def to_backend(entry: EndpointEntry) -> Backend:
    """Return the backend that a checked entry describes; values that many entries have share one object."""
    return Backend(
        entry.id,
        sys.intern(entry.zone or ""),
        sys.intern(entry.kind or ""),
        entry.cell or 0,
        READINESS_BY_STATE[entry.state],
        DEFAULT_WEIGHT if entry.weight == DEFAULT_WEIGHT else entry.weight,
        entry.started_ms / 1000 if entry.started_ms else DEFAULT_STARTED_S,
    )
