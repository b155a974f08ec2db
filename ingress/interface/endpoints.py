"""The entries of the endpoint list, in which discovery describes the backends."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Readiness(Enum):
    """Whether a backend accepts new attempts."""

    READY = "ready"
    """The backend accepts new attempts."""
    DRAINING = "draining"
    """The backend completes the attempts that it has received and accepts no new ones."""
    REMOVED = "gone"
    """The backend no longer exists."""


class EndpointUpdateKind(Enum):
    """What the `backends` of an endpoint update contain."""

    UPDATE = "update"
    """The entries that changed."""
    REPLACE = "replace"
    """The complete list."""
    RESTORED = "restored"
    """The complete list as it was last known before the process started."""
    UNAVAILABLE = "unavailable"
    """Nothing, because the call to discovery failed."""


@dataclass(frozen=True, slots=True)
class Backend:
    """One entry of the endpoint list."""

    id: str
    """Identifies the backend in events and actions."""
    zone: str = ""
    """Name of the availability zone."""
    kind: str = ""
    """Type of the backend, as discovery names it."""
    cell: int = 0
    """Number of the cell: a group of backends that deduplicate requests among each other."""
    readiness: Readiness = Readiness.READY
    """Whether the backend accepts new attempts."""
    weight: float = 1.0
    """Capacity relative to the other backends."""
    started: float = 0.0
    """Unix time of the backend's last start, in seconds; 0 if that is long ago."""
