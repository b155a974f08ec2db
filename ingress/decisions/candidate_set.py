"""The candidates: the backends that a gateway chooses from, made up of its subset and a reserve."""

import random

import ingress.interface as api
from ingress.decisions.attempt_key import AttemptKey
from ingress.decisions.backend import LoadTotals, TrackedBackend
from ingress.decisions.subset import Subsetting


class CandidateSet:
    """Applies the endpoint list, and tracks the candidates and other backends with attempts in flight."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.rng = rng
        """Random number generator for samples and for the initial levels of slow-start budgets."""
        self.subsetting = Subsetting(settings)
        """Selects the backends of the subset and of the reserve."""
        self.load_totals = LoadTotals()
        """Attempts in flight and limits, summed over the candidates."""
        self.ready_backends: dict[str, api.Backend] = {}
        """Endpoint list entries of all ready backends, by backend id."""
        self.tracked_backends: dict[str, TrackedBackend] = {}
        """The candidates and other backends with attempts in flight, by backend id."""
        self.subset: list[TrackedBackend] = []
        """The backends that this gateway prefers."""
        self.reserve: list[TrackedBackend] = []
        """Further backends, used when the subset is full or down."""
        self.candidates: list[TrackedBackend] = []
        """The backends of the subset and the reserve, in the order in which tracking began."""

    def apply_update(self, event: api.EndpointUpdate, now: float) -> None:
        """Apply an update of the endpoint list."""
        if event.kind is api.EndpointUpdateKind.UNAVAILABLE:
            return
        was_ready_by_id: dict[str, bool] = {}  # before the update, for each backend that it lists or removes
        if event.kind is not api.EndpointUpdateKind.UPDATE:
            was_ready_by_id = dict.fromkeys(self._remove_unlisted(event.backends), True)
        for entry in event.backends:
            was_ready_by_id.setdefault(entry.id, entry.id in self.ready_backends)
            self._apply_entry(entry, now)
        removed_ids = [
            backend_id
            for backend_id, was_ready in was_ready_by_id.items()
            if was_ready and backend_id not in self.ready_backends
        ]
        added_ids = [
            backend_id
            for backend_id, was_ready in was_ready_by_id.items()
            if not was_ready and backend_id in self.ready_backends
        ]
        if removed_ids or added_ids:
            self.subsetting.update(removed_ids, added_ids)
            self._choose_candidates(event.backends, now)

    def add_attempt(self, backend: TrackedBackend, key: AttemptKey, now: float) -> None:
        """Add an attempt, sent at the time `now`, to those in flight at the backend."""
        self.tracked_backends[backend.entry.id] = backend
        backend.attempts_in_flight[key] = now
        self.load_totals.attempts_in_flight += backend.is_candidate

    def remove_attempt(self, backend: TrackedBackend, key: AttemptKey) -> float:
        """Remove an attempt that ended from those in flight, and return the time at which it was sent (s).

        A backend that is not a candidate is no longer tracked after its last attempt has ended.  Raise
        KeyError if the attempt is not in flight.
        """
        self.load_totals.attempts_in_flight -= backend.is_candidate
        sent_at = backend.attempts_in_flight.pop(key)
        if not backend.is_candidate and not backend.attempts_in_flight:
            self.tracked_backends.pop(backend.entry.id, None)
        return sent_at

    def sample(self, backends: list[TrackedBackend], max_count: int) -> list[TrackedBackend]:
        """Return all of the backends if they are at most `max_count`, else that many drawn at random."""
        return backends if len(backends) <= max_count else self.rng.sample(backends, max_count)

    def sample_ready(self, max_count: int, now: float) -> list[TrackedBackend]:
        """Return up to `max_count` random ready backends, or none if all ready backends are candidates.

        Sampled backends that are not tracked yet become tracked only when an attempt is sent to them.
        """
        if len(self.candidates) >= len(self.ready_backends):
            return []
        ready_ids = self.subsetting.backend_ids
        sampled_ids = self.rng.sample(ready_ids, min(max_count, len(ready_ids)))
        return [self._get_or_create_backend(backend_id, now) for backend_id in sampled_ids]

    def _remove_unlisted(self, listed: tuple[api.Backend, ...]) -> list[str]:
        """Remove the ready backends that a complete list lacks, and return their ids."""
        unlisted_ids = sorted(self.ready_backends.keys() - {entry.id for entry in listed})
        for backend_id in unlisted_ids:
            del self.ready_backends[backend_id]
        return unlisted_ids

    def _apply_entry(self, entry: api.Backend, now: float) -> None:
        if entry.readiness is api.Readiness.REMOVED:  # tells nothing else of the backend
            self.ready_backends.pop(entry.id, None)
            return
        if entry.readiness is api.Readiness.READY:
            self.ready_backends[entry.id] = entry
        else:
            self.ready_backends.pop(entry.id, None)
        if backend := self.tracked_backends.get(entry.id):
            if entry.started != backend.entry.started:
                backend.reset_for_restart(now, self.rng.random())
            backend.entry = entry

    def _choose_candidates(self, updated: tuple[api.Backend, ...], now: float) -> None:
        """Track the subset and the reserve, and stop tracking others that have no attempt in flight."""
        subset_ids = self.subsetting.compute_subset()
        candidate_ids = dict.fromkeys(subset_ids + self.subsetting.compute_reserve(subset_ids))
        # Backends of the update are tracked first, in the update's order.  The order decides which random
        # number becomes the initial budget level of which backend.
        for backend_id in [*(entry.id for entry in updated if entry.id in candidate_ids), *candidate_ids]:
            self.tracked_backends[backend_id] = self._get_or_create_backend(backend_id, now)
        for backend_id, backend in list(self.tracked_backends.items()):
            backend.set_candidate(backend_id in candidate_ids)
            if not backend.is_candidate and not backend.attempts_in_flight:
                del self.tracked_backends[backend_id]
        self.subset = [self.tracked_backends[backend_id] for backend_id in subset_ids]
        self.reserve = [
            self.tracked_backends[backend_id] for backend_id in list(candidate_ids)[len(subset_ids) :]
        ]
        self.candidates = [backend for backend in self.tracked_backends.values() if backend.is_candidate]

    def _get_or_create_backend(self, backend_id: str, now: float) -> TrackedBackend:
        """Return the tracked backend with this id, or a new one that is not tracked yet."""
        if backend_id in self.tracked_backends:
            return self.tracked_backends[backend_id]
        budget_level = self.rng.random()
        return TrackedBackend(self.ready_backends[backend_id], now, budget_level, self.load_totals)
