"""The backends of a simulated fleet: which of them start cold, and how long each takes to serve a request."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ingress.interface import Backend, EndpointUpdate, EndpointUpdateKind, Readiness
from scale.cold.job import ColdStartJob


@dataclass(frozen=True, slots=True)
class Replacement:
    """The backends before and after the cold starts."""

    starts_at: float
    """When all cold backends start, in seconds on the simulated clock."""
    initial_backends: tuple[Backend, ...]
    cold_backends: tuple[Backend, ...]
    cold_ids: frozenset[str]
    removed_ids: frozenset[str]
    """The ids that leave the endpoint list; empty if the backends restart under their ids."""

    def build_update(self) -> EndpointUpdate:
        """Return the change of the endpoint list: old backends are removed, cold ones added or updated."""
        removed = tuple(
            Backend(removed_id, readiness=Readiness.REMOVED) for removed_id in sorted(self.removed_ids)
        )
        return EndpointUpdate(EndpointUpdateKind.UPDATE, removed + self.cold_backends)


def plan_replacement(job: ColdStartJob, starts_at: float) -> Replacement:
    """Return the backends of a job; the first of them are replaced or restarted at `starts_at`."""
    initial_backends = tuple(Backend(f"b{number}") for number in range(job.backends))
    replaced_backends = initial_backends[: max(1, round(job.backends * job.replaced_share))]
    suffix = "" if job.start_kind == "restarted" else "-new"
    cold_backends = tuple(Backend(old.id + suffix, started=starts_at) for old in replaced_backends)
    cold_ids = frozenset(backend.id for backend in cold_backends)
    removed_ids = frozenset(backend.id for backend in replaced_backends) - cold_ids
    return Replacement(starts_at, initial_backends, cold_backends, cold_ids, removed_ids)


class BackendQueues:
    """The queues of all backends; each serves one request after another, a cold one more slowly."""

    def __init__(self, job: ColdStartJob, replacement: Replacement, rng: random.Random) -> None:
        self._job = job
        self._replacement = replacement
        self._rng = rng
        self._free_at: dict[str, float] = {}  # by backend: time at which its queue is empty

    def queue_request(self, backend_id: str, now: float) -> float:
        """Queue a request at a backend; return the seconds until it is served."""
        age = now - self._replacement.starts_at
        is_cold = age >= 0 and backend_id in self._replacement.cold_ids
        capacity_share = self._job.calculate_capacity_share(age) if is_cold else 1.0
        begins_at = max(now, self._free_at.get(backend_id, 0.0))
        self._free_at[backend_id] = begins_at + self._rng.expovariate(self._job.capacity * capacity_share)
        return self._free_at[backend_id] - now
