"""The load balancer: chooses a backend for each attempt, at a cost that does not grow with the fleet."""

import random

import ingress.interface as api
from ingress.decisions.answer_times import AnswerTimes
from ingress.decisions.attempt_key import AttemptKey
from ingress.decisions.backend import LoadTotals, TrackedBackend
from ingress.decisions.candidate_set import CandidateSet
from ingress.decisions.request import PendingRequest
from ingress.decisions.slow_start import SlowStart
from ingress.decisions.subset import Subsetting

# A backend with attempts in flight that answers none for more than this many mean answer times of the slowest
# class counts as stalled.
STALL_FACTOR = 4.0
MIN_HEALTHY_SHARE = 0.5  # of the usable backends; if fewer are healthy, ejection is suspended (panic mode)
# First attempts of a request, which prefer the subset.  Later ones prefer the reserve, as the subset may be
# down.
SUBSET_ATTEMPTS = 2
MAX_COMPARED = 32  # backends of the subset or the reserve that are compared for one attempt
MAX_FALLBACK_COMPARED = 256  # candidates that are compared if none of the first sample has room
MAX_SAMPLED_READY = 16  # ready backends that are compared if no candidate has room
# Share of the longest latency objective: the shortest time between two decreases of the limit of a backend
# that answers nothing.
DECREASE_INTERVAL_SHARE = 0.25


class LoadBalancer:
    """Chooses backends for attempts, and records which attempts are in flight."""

    def __init__(self, settings: api.Settings, answer_times: AnswerTimes, rng: random.Random) -> None:
        self.settings = settings
        """The deployment's settings."""
        self.answer_times = answer_times
        """Mean answer times of the request classes."""
        self.rng = rng
        """Random number generator for samples and tie-breaks."""
        self.longest_objective = max(c.latency_objective for c in settings.classes)
        """The longest latency objective of all request classes (s)."""
        self.candidate_set = CandidateSet(settings, rng)
        """The backends that attempts may go to."""
        self.slow_start = SlowStart(settings, self.candidate_set)
        """Limits the load on backends that are warming up."""

    @property
    def ready_backends(self) -> dict[str, api.Backend]:
        """Endpoint list entries of all ready backends, by backend id."""
        return self.candidate_set.ready_backends

    @property
    def subsetting(self) -> Subsetting:
        """The computation of the gateways' subsets."""
        return self.candidate_set.subsetting

    @property
    def load_totals(self) -> LoadTotals:
        """Attempts in flight and limits, summed over the candidates."""
        return self.candidate_set.load_totals

    @property
    def tracked_backends(self) -> dict[str, TrackedBackend]:
        """The candidates and other backends with attempts in flight, by backend id."""
        return self.candidate_set.tracked_backends

    @property
    def subset(self) -> list[TrackedBackend]:
        """The backends that this gateway prefers."""
        return self.candidate_set.subset

    @property
    def reserve(self) -> list[TrackedBackend]:
        """Further backends, used when the subset is full or down."""
        return self.candidate_set.reserve

    @property
    def candidates(self) -> list[TrackedBackend]:
        """The backends of the subset and the reserve."""
        return self.candidate_set.candidates

    def apply_update(self, event: api.EndpointUpdate, now: float) -> None:
        """Apply an update of the endpoint list."""
        self.candidate_set.apply_update(event, now)

    def add_attempt(self, backend: TrackedBackend, key: AttemptKey, now: float) -> None:
        """Add an attempt, sent at the time `now`, to those in flight at the backend."""
        self.candidate_set.add_attempt(backend, key, now)

    def remove_attempt(self, backend: TrackedBackend, key: AttemptKey) -> float:
        """Remove an attempt that ended from those in flight, and return the time at which it was sent (s).

        Raise KeyError if the attempt is not in flight.
        """
        return self.candidate_set.remove_attempt(backend, key)

    def record_answer(self, now: float) -> None:
        """Include a successful answer in the rate from which slow start derives its budgets."""
        self.slow_start.record_answer(now)

    def slow_start_allows(self, backend: TrackedBackend, now: float, request: PendingRequest) -> bool:
        """Return whether the backend is warm, or its slow-start budget has room for the request's work."""
        if not backend.is_warming_up(now, self.settings):
            return True
        return self.slow_start.allows_request(backend, now, self.answer_times.estimate_work(request))

    def choose_backend(
        self, request: PendingRequest, now: float, is_exploratory: bool = False
    ) -> TrackedBackend | None:
        """Return the backend for one more attempt, or None if no backend that was compared has room.

        The choice is made from the subset (for later attempts, the reserve), else from the candidates, else
        from a random sample of all ready backends.  An exploratory attempt goes to an idle backend of the
        reserve, to find out whether an overload extends beyond the subset.
        """
        candidate_set = self.candidate_set
        if is_exploratory:
            return self._choose_among(
                request, now, [b for b in candidate_set.reserve if not b.attempts_in_flight]
            )
        is_early_attempt = len(request.attempts.sent_attempts) < SUBSET_ATTEMPTS
        preferred = candidate_set.subset if is_early_attempt else candidate_set.reserve
        chosen = self._choose_among(request, now, candidate_set.sample(preferred, MAX_COMPARED))
        if chosen is None:
            fallback = candidate_set.sample(candidate_set.candidates, MAX_FALLBACK_COMPARED)
            chosen = self._choose_among(request, now, fallback)
        if chosen is None:
            chosen = self._choose_among(request, now, candidate_set.sample_ready(MAX_SAMPLED_READY, now))
        return chosen

    def _choose_among(
        self, request: PendingRequest, now: float, compared: list[TrackedBackend]
    ) -> TrackedBackend | None:
        """Return the least loaded of the backends that may get the request now, or None if none may.

        If the chosen backend is warming up, take the request's work from its slow-start budget.
        """
        usable = [b for b in compared if request.may_send(b, now, self.settings)]
        healthy_ids = self._find_healthy_ids(usable, now)
        more_can_be_compared = len(compared) < len(self.candidate_set.candidates)
        if not healthy_ids and more_can_be_compared:
            return None  # the caller compares more backends, to find out whether they have a common fault
        eligible = self._find_eligible_backends(request, now, usable, healthy_ids)
        chosen = self._find_least_loaded(request, now, eligible)
        if chosen is not None and chosen.is_warming_up(now, self.settings):
            chosen.slow_start_budget.take_units(self.answer_times.estimate_work(request))
        return chosen

    def _find_healthy_ids(self, backends: list[TrackedBackend], now: float) -> set[str]:
        """Return the ids of the backends that are neither ejected nor stalled.

        A backend that died without closing its connections, or that is many times slower than others, would
        otherwise look idle until its attempts time out.
        """
        longest_mean = max(self.answer_times.mean_by_class.values(), default=self.longest_objective)
        max_silence = STALL_FACTOR * longest_mean
        return {
            b.entry.id
            for b in backends
            if b.get_silence_duration(now) <= max_silence and not b.is_ejected(now)
        }

    def _find_eligible_backends(
        self, request: PendingRequest, now: float, usable: list[TrackedBackend], healthy_ids: set[str]
    ) -> list[TrackedBackend]:
        """Return the usable backends that are healthy, have room and, if possible, were not tried yet.

        If most backends are unhealthy, the cause is probably a common one, and the unhealthy ones are used
        too.  Backends that refuse connections remain excluded: they look idle and would get all requests.
        """
        in_panic = len(healthy_ids) < MIN_HEALTHY_SHARE * len(usable)
        tried_ids = {attempt.backend.entry.id for attempt in request.attempts.sent_attempts}
        skips_tried = len(usable) > len(tried_ids)
        eligible = []
        for backend in usable:
            backend_id = backend.entry.id
            if backend_id not in healthy_ids and (backend.ejection.is_unreachable or not in_panic):
                continue
            if skips_tried and backend_id in tried_ids:
                continue
            # An overloaded backend may answer nothing, so that no answer would decrease its limit.  A long
            # silence therefore decreases the limit too.
            if backend.get_silence_duration(now) > self.longest_objective:
                backend.decrease_limit(now, DECREASE_INTERVAL_SHARE * self.longest_objective)
            if len(backend.attempts_in_flight) < backend.concurrency_limit.limit:
                eligible.append(backend)
        return eligible

    def _find_least_loaded(
        self, request: PendingRequest, now: float, eligible: list[TrackedBackend]
    ) -> TrackedBackend | None:
        """Return the backend with the lowest load score among those that slow start allows."""
        chosen = None
        lowest_score = float("inf")
        mean_answer_time = self.answer_times.get_mean(request.request_class)
        for backend in eligible:
            tie_break = self.rng.expovariate(1.0)
            score = backend.compute_load_score(
                now, mean_answer_time, self.longest_objective, self.settings.zone, tie_break
            )
            if score < lowest_score and self.slow_start_allows(backend, now, request):
                chosen = backend
                lowest_score = score
        return chosen
