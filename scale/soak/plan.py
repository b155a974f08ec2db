"""What happens in a soak run, drawn from its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

DURATION_S = 6.0  # of the traffic, before SIGTERM in runs that end by it
MEMORY_MB = (64, 96, 192)
REQUESTS_AT_ONCE = 20
HEAVY_REQUESTS_AT_ONCE = 100
LATEST_REPLACEMENT_S = 3.0  # of a backend, from the start of the traffic


class FloodKind(StrEnum):
    """What the clients that send at full speed send."""

    NONE = "none"
    PING = "ping"
    MALFORMED = "malformed"
    MALFORMED_AND_VALID = "malformed_and_valid"
    NEW_CUSTOMERS = "new_customers"
    CONNECT = "connect"
    """They connect, send nothing and close, again and again."""


class CrowdKind(StrEnum):
    """What a crowd of some hundreds of connections does."""

    NONE = "none"
    SLOW = "slow"
    HALF = "half"
    FIELDS = "fields"
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The plan of one run."""

    seed: int
    flood: FloodKind
    flooder_count: int
    crowd: CrowdKind
    crowd_size: int
    memory_mb: int
    reload_times_s: tuple[float, ...]
    """When SIGHUP is sent, in series."""
    ends_by_sigterm: bool
    backend_fault_share: float
    """Share of commands that a backend answers with BUSY, never, or with a reset."""
    replacement_times_s: tuple[float, ...]
    """When a backend vanishes; one of another cell starts at its address."""
    answers_complete_lists: bool
    """Whether discovery answers with the complete list where the changes would do."""
    has_shared_connections: bool
    """Whether clients share connections, and others send the ids of their open requests."""
    max_requests_at_once: int
    """How many requests these clients send at once, at most."""


def draw_plan(seed: int, is_heavy: bool = False) -> SoakPlan:
    """Return the plan of the run with this seed; every second run has a crowd.

    A heavy run has shared connections beside a crowd, too, and more requests at once on them.
    """
    rng = random.Random(seed)
    has_crowd = seed % 2 == 1
    reload_start = rng.uniform(1.5, 3.0)
    return SoakPlan(
        seed=seed,
        flood=rng.choice(list(FloodKind)),
        flooder_count=rng.randint(2, 8),
        crowd=rng.choice([kind for kind in CrowdKind if kind is not CrowdKind.NONE])
        if has_crowd
        else CrowdKind.NONE,
        crowd_size=rng.randint(200, 450) if has_crowd else 0,
        memory_mb=rng.choice(MEMORY_MB),
        reload_times_s=tuple(reload_start + 0.1 * number for number in range(rng.randint(0, 4))),
        ends_by_sigterm=rng.random() < 0.7,
        backend_fault_share=rng.choice((0.0, 0.05, 0.2)),
        replacement_times_s=tuple(
            sorted(rng.uniform(0.5, LATEST_REPLACEMENT_S) for _ in range(rng.randint(0, 3)))
        ),
        answers_complete_lists=rng.random() < 0.5,
        has_shared_connections=is_heavy or not has_crowd,
        max_requests_at_once=HEAVY_REQUESTS_AT_ONCE if is_heavy else REQUESTS_AT_ONCE,
    )
