"""What the stand-ins of a soak run have seen, from which the rules are checked.

All times are seconds on the monotonic clock of the run's process.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf

DEDUPLICATION_WINDOW_S = 1.5


class Semantics(StrEnum):
    """Whether a request may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    """Again only in the cell of the first backend and within DEDUPLICATION_WINDOW_S."""
    UNSAFE = "unsafe"


class Ending(StrEnum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    FOREIGN = "foreign"
    """The value of another request."""
    LOST = "lost"
    """No answer in time, or the connection ended without one, twice if it may have crossed a close."""
    LEFT = "left"
    """The client closed its connection first."""
    UNSENT = "unsent"
    """No connection could be established."""


@dataclass(slots=True)
class RequestRecord:
    """One request of a client."""

    id: bytes
    semantics: Semantics
    wait_s: float
    sent_at: float
    ending: Ending | None = None
    ended_at: float = 0.0
    left_at: float | None = None
    """When its client had closed its connection; None if it stayed."""


@dataclass(frozen=True, slots=True)
class Execution:
    """One command that a backend has begun."""

    request_id: bytes
    arrived_at: float
    deadline_s: float
    """What the command's field `d` says."""
    cell: int = 0
    """The cell of the backend."""
    told_at: float = -inf
    """When discovery had told of the backend: long ago, or infinite if not before the command arrived."""


@dataclass(frozen=True, slots=True)
class OpenIdAnswer:
    """What became of a request with the id of another client's open request."""

    request_id: bytes
    sent_at: float
    is_served: bool
    is_in_time: bool
    """Whether an error or a close, or a value, came in time."""


@dataclass(slots=True)
class Books:
    """The records of one run."""

    requests: dict[bytes, RequestRecord] = field(default_factory=dict)
    executions: defaultdict[bytes, list[Execution]] = field(default_factory=lambda: defaultdict(list))
    longest_own_lag_s: float = 0.0
    """The longest time by which the run's own event loop was late: its records are late by as much."""
    peak_memory_bytes: int = 0
    memory_limit_bytes: int = 0
    unexpected_exits: list[str] = field(default_factory=list)
    open_id_answers: list[OpenIdAnswer] = field(default_factory=list)

    def count(self, ending: Ending) -> int:
        """Return how many requests ended so."""
        return sum(record.ending is ending for record in self.requests.values())
