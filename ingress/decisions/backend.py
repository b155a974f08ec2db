"""The state that this gateway keeps for one backend: attempts in flight, latency, health and limits."""

from dataclasses import dataclass

import ingress.interface as api
from ingress.decisions.attempt_key import AttemptKey
from ingress.decisions.concurrency_limit import INITIAL_LIMIT, ConcurrencyLimit
from ingress.decisions.constants import SMOOTHING_FACTOR
from ingress.decisions.outlier_ejection import OutlierEjection
from ingress.decisions.token_bucket import TokenBucket

CROSS_ZONE_FACTOR = 1.1  # multiplies the load score of backends in other zones, as a tie-break
MIN_RELATIVE_LATENCY = 0.2  # of the mean answer time: in the load score no backend counts as faster
SILENCE_PER_RELATIVE_LATENCY = 3.0  # mean answer times; this silence counts as a relative latency of 1
RELATIVE_LATENCY_HALF_LIFE = 3  # longest latency objectives after which the effect of past answers is halved
MIN_DIVISOR = 1e-6  # replaces a mean answer time or a weight of 0, to prevent a division by zero


@dataclass(slots=True)
class LoadTotals:
    """Attempts in flight and concurrency limits, summed over the candidates."""

    attempts_in_flight: int = 0
    """Number of attempts that this gateway has in flight."""
    limit: float = 0.0
    """Number of attempts that this gateway may have in flight."""


class TrackedBackend:
    """A backend that this gateway may send to, or where it has attempts in flight."""

    def __init__(
        self, entry: api.Backend, now: float, budget_level: float = 0.0, totals: LoadTotals | None = None
    ) -> None:
        self.entry = entry
        """The backend's entry in the endpoint list."""
        self.totals = totals or LoadTotals()
        """Sums over all candidates; they include this backend while it is a candidate."""
        self.is_candidate = False
        """Whether the backend may be chosen: it is ready and in the subset or the reserve."""
        self.attempts_in_flight: dict[AttemptKey, float] = {}
        """Time at which each attempt in flight was sent (s), oldest first."""
        self.concurrency_limit = ConcurrencyLimit(now)
        """Limit on the attempts in flight at the backend."""
        self.reset_for_restart(now, budget_level)

    def reset_for_restart(self, now: float, budget_level: float) -> None:
        """Discard what was learned about an earlier process of the backend.

        `budget_level` is the initial level of the slow-start budget, in mean requests.  It should be random:
        if the budgets of all gateways started at the same level, all would allow their first request at the
        same moment.
        """
        self.set_limit(INITIAL_LIMIT)
        self.concurrency_limit = ConcurrencyLimit(now)
        self.ejection = OutlierEjection(now)
        """The backend's consecutive failures, and whether it is ejected because of them."""
        self.relative_latency = 1.0
        """Running mean of the backend's answer times, each divided by the mean of its request class."""
        self.last_answer_at = now
        """Time (s) of the last answer, or of the timeout of an attempt that was sent after that answer."""
        self.slow_start_budget = TokenBucket(0.0, 1.0, budget_level, now)
        """The work, in mean requests, that this gateway may send to the backend while it warms up."""

    @property
    def limit(self) -> float:
        """Number of attempts that this gateway may have in flight at the backend."""
        return self.concurrency_limit.limit

    def set_limit(self, limit: float) -> None:
        """Set how many attempts this gateway may have in flight at the backend."""
        self._add_limit_change_to_totals(self.concurrency_limit.set_limit(limit))

    def set_candidate(self, is_candidate: bool) -> None:
        """Set whether the backend is a candidate, and add it to the totals or remove it from them."""
        sign = int(is_candidate) - int(self.is_candidate)
        self.totals.attempts_in_flight += sign * len(self.attempts_in_flight)
        self.totals.limit += sign * self.concurrency_limit.limit
        self.is_candidate = is_candidate

    def is_warming_up(self, now: float, settings: api.Settings) -> bool:
        """Return whether the backend started so recently that it may lack its full capacity."""
        return self.entry.started > 0.0 and now < self.entry.started + settings.slow_start_duration

    def record_answer(
        self, now: float, latency: float, mean_answer_time: float, latency_objective: float
    ) -> None:
        """Update latency, health and limit after an answer that took `latency` seconds.

        The caller also uses this for a timeout, if the backend has answered nothing since the attempt was
        sent.  `mean_answer_time` is the mean of the request's class (s).
        """
        self.relative_latency += SMOOTHING_FACTOR * (
            latency / max(mean_answer_time, MIN_DIVISOR) - self.relative_latency
        )
        self.last_answer_at = now
        self.ejection.record_answer()
        in_flight = len(self.attempts_in_flight)
        self._add_limit_change_to_totals(
            self.concurrency_limit.record_answer(now, latency, latency_objective, in_flight)
        )

    def decrease_limit(self, now: float, min_interval: float) -> None:
        """Decrease the limit unless it was decreased less than `min_interval` seconds ago."""
        self._add_limit_change_to_totals(
            self.concurrency_limit.decrease(now, min_interval, len(self.attempts_in_flight))
        )

    def record_failure(self, now: float, outcome: api.Outcome, longest_objective: float) -> None:
        """Update health and limit after a failed or rejected attempt.

        A backend that fails immediately has few attempts in flight, so without ejection the balancer would
        consider it idle and send it all requests.  `longest_objective` is the longest latency objective of
        all classes (s).
        """
        if outcome is not api.Outcome.REJECTED:
            self.ejection.record_failure(now, outcome, longest_objective)
        elif self.ejection.record_rejection(now, self.concurrency_limit.is_busy, longest_objective):
            self.decrease_limit(now, 0.0)

    def clear_failures(self) -> None:
        """Reset the count of consecutive failures after a successful answer."""
        self.ejection.clear_failures()

    def mark_suspect(self) -> None:
        """Let the next failure eject the backend.

        The caller uses this when an attempt has timed out and the backend has answered nothing since the
        attempt was sent.
        """
        self.ejection.mark_suspect()

    def is_ejected(self, now: float) -> bool:
        """Return whether the backend may get no attempt now, because of earlier failures or rejections.

        After a pause for failures, the backend gets one attempt at a time until one succeeds.
        """
        return self.ejection.is_ejected(now, bool(self.attempts_in_flight))

    def get_silence_duration(self, now: float) -> float:
        """Return for how many seconds the backend has had attempts in flight without answering any."""
        if not self.attempts_in_flight:
            return 0.0
        oldest_sent_at = next(iter(self.attempts_in_flight.values()))
        return now - max(self.last_answer_at, oldest_sent_at)

    def compute_load_score(
        self, now: float, mean_answer_time: float, longest_objective: float, zone: str, tie_break: float
    ) -> float:
        """Return the expected load of the backend relative to its weight, as seen from `zone`.

        The balancer chooses the backend with the lowest score.  `mean_answer_time` is the mean of the
        request's class (s).  `tie_break` is drawn from the exponential distribution, so that among idle
        backends each is chosen in proportion to its weight.
        """
        # The effect of past answers decays: otherwise a backend that was slow once would never be tried
        # again.
        half_lives = (now - self.last_answer_at) / (RELATIVE_LATENCY_HALF_LIFE * longest_objective)
        decay: float = 0.5**half_lives
        silence = (
            self.get_silence_duration(now) / max(mean_answer_time, MIN_DIVISOR) / SILENCE_PER_RELATIVE_LATENCY
        )
        latency = max(1.0 + (self.relative_latency - 1.0) * decay, silence, MIN_RELATIVE_LATENCY)
        zone_factor = CROSS_ZONE_FACTOR if zone != self.entry.zone else 1.0
        load = (len(self.attempts_in_flight) + tie_break) * latency
        return load / max(self.entry.weight, MIN_DIVISOR) * zone_factor

    def _add_limit_change_to_totals(self, change: float) -> None:
        """Update the totals after a change of the limit; every change must be passed to this method."""
        self.totals.limit += change * self.is_candidate
