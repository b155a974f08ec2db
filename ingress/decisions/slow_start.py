"""Slow start: limits the work that all gateways together send to a backend that is warming up."""

import ingress.interface as api
from ingress.decisions.backend import TrackedBackend
from ingress.decisions.candidate_set import CandidateSet

SAFE_LOAD_SHARE = 0.7  # of the load at which a backend that is warming up fails; for all gateways together
MIN_WARM_SHARE = 0.5  # of the candidates' weight; if a smaller share is warm, the last measured rate is kept
RATE_WINDOW_SHARE = 0.25  # of the slow start's duration: the window over which answers are counted
MIN_RATE_WINDOW_S = 1.0  # lower bound of the window if the slow start is short
# Requests per overload window from all gateways.  Every backend gets some, so that its answers show that it
# is warm.
MIN_BUDGET_IN_WINDOW = 0.5
MIN_DIVISOR = 1e-6  # replaces a weight or a duration of 0, to prevent a division by zero


class SlowStart:
    """Derives the budgets of backends that are warming up from the answer rate of warm backends."""

    def __init__(self, settings: api.Settings, candidate_set: CandidateSet) -> None:
        self.settings = settings
        """The deployment's settings: slow start's duration and initial share, and the overload limits."""
        self.candidate_set = candidate_set
        """The candidates; the warm ones among them determine the warm rate."""
        self.answer_rate = 0.0
        """Successful answers per second to this gateway from all backends, averaged over the window."""
        self.last_answer_at = 0.0
        """Time of the last successful answer (s)."""
        self.warm_rate_per_weight = 0.0
        """Answers per second that this gateway gets from a warm backend, per unit of the backend's weight."""

    def record_answer(self, now: float) -> None:
        """Include a successful answer in the answer rate."""
        window = max(RATE_WINDOW_SHARE * self.settings.slow_start_duration, MIN_RATE_WINDOW_S)
        kept_share = max(0.0, 1 - (now - self.last_answer_at) / window)
        self.answer_rate = self.answer_rate * kept_share + 1.0 / window
        self.last_answer_at = now

    def allows_request(self, backend: TrackedBackend, now: float, work: float) -> bool:
        """Return whether a backend that is warming up may get a request of `work` (in mean requests).

        A new backend is idle, so without this limit all gateways would choose it at the same time.  Only
        gateways that have it in their subset send to it, and each of them sends only its part of the load
        that the backend can take.
        """
        if backend not in self.candidate_set.subset:
            return False
        self._measure_warm_rate(now)
        budget = backend.slow_start_budget
        budget.rate = self._compute_budget_rate(backend, now)
        has_room = len(backend.attempts_in_flight) < max(1.0, budget.rate)
        return has_room and budget.has_units(now, work, max(1.0, work))

    def _measure_warm_rate(self, now: float) -> None:
        """Update the rate of warm backends, unless too few of the candidates are warm for a good estimate."""
        candidates = self.candidate_set.candidates
        warm_weight = sum(
            candidate.entry.weight
            for candidate in candidates
            if not candidate.is_warming_up(now, self.settings)
        )
        if warm_weight >= max(
            MIN_DIVISOR, MIN_WARM_SHARE * sum(candidate.entry.weight for candidate in candidates)
        ):
            # The answers come from all ready backends, of which the candidates are a sample.  The weight of
            # the warm candidates is therefore scaled up.
            ready_per_candidate = len(self.candidate_set.ready_backends) / len(candidates)
            self.warm_rate_per_weight = self.answer_rate / (warm_weight * ready_per_candidate)

    def _compute_budget_rate(self, backend: TrackedBackend, now: float) -> float:
        """Return the work per second that this gateway may send to a backend that is warming up."""
        settings = self.settings
        age = now - backend.entry.started
        initial_share = settings.slow_start_initial_share
        capacity_share = initial_share + (1 - initial_share) * age / max(
            settings.slow_start_duration, MIN_DIVISOR
        )
        gateway_count = self.candidate_set.subsetting.count_gateways_preferring(backend.entry.id)
        # The rate that a warm backend of this weight gets from all gateways, divided among those that have
        # this backend in their subset: only they send to it while it warms up.
        warm_rate = self.warm_rate_per_weight * backend.entry.weight * settings.instance_count / gateway_count
        min_rate = MIN_BUDGET_IN_WINDOW / (settings.overload_window * gateway_count)
        return max(
            min_rate, SAFE_LOAD_SHARE * settings.overload_factor * min(1.0, capacity_share) * warm_rate
        )
