"""The detection of overload, and the share of requests that has to be shed."""

from dataclasses import dataclass
from math import exp

import ingress.interface as api
from ingress.decisions.attempt_key import AttemptKey
from ingress.decisions.backend import LoadTotals
from ingress.decisions.concurrency_limit import BUSY_LATENCY_SHARE
from ingress.decisions.constants import NEVER

SHED_START_UTILIZATION = 0.55  # utilization of the concurrency limits above which shedding begins
SHED_START_TIME = 0.2  # mean time in flight at which shedding begins, in latency objectives
SHED_ALL_TIME = 0.45  # mean time in flight at which all requests are shed, in latency objectives
AVERAGING_TIME_S = 3.0  # long enough for one gateway of hundreds to receive some answers
MAX_DECAY_SPANS = 100  # averaging times after which earlier values have no weight left


@dataclass(slots=True)
class CountedAttempt:
    """An attempt in flight that counts for the mean time in flight."""

    counted_until: float
    """Time (s) after which the attempt is considered lost rather than slow, and no longer counts."""
    weight: float
    """Reciprocal of the latency objective of the request's class (1/s)."""


class OverloadDetector:
    """Detects overload from the number of attempts in flight and from the time that they stay in flight."""

    def __init__(self, load_totals: LoadTotals) -> None:
        self.load_totals = load_totals
        self.counted_attempts: dict[AttemptKey, CountedAttempt] = {}
        """The attempts in flight except those considered lost, by key, the oldest first."""
        self.in_flight_weight = 0.0
        """Sum of the weights in `counted_attempts`."""
        self.mean_in_flight_weight = BUSY_LATENCY_SHARE
        """Smoothed value of `in_flight_weight` times the averaging time, plus `BUSY_LATENCY_SHARE`."""
        self.mean_send_count = 1.0
        """Smoothed number of attempts sent in an averaging time, plus one.

        The terms added to the two means make their ratio `BUSY_LATENCY_SHARE` before the first attempt."""
        self.updated_at = NEVER
        """Time of the latest update of the two means (s)."""
        self.exploratory_attempt: AttemptKey | None = None
        """The attempt in flight that went outside of the subset, to find out how far the overload extends."""

    def record_attempt_start(self, now: float, key: AttemptKey, request_class: api.RequestClass) -> None:
        """Record that an attempt was sent."""
        self.update_mean_time_in_flight(now)
        weight = 1 / request_class.latency_objective
        counted_until = now + SHED_ALL_TIME * request_class.latency_objective
        self.counted_attempts[key] = CountedAttempt(counted_until, weight)
        self.in_flight_weight += weight
        self.mean_send_count += 1.0

    def record_attempt_end(self, now: float, key: AttemptKey) -> None:
        """Record that an attempt has ended."""
        self.update_mean_time_in_flight(now)
        self._stop_counting(key)
        if self.exploratory_attempt == key:
            self.exploratory_attempt = None

    def _stop_counting(self, key: AttemptKey) -> None:
        attempt = self.counted_attempts.pop(key, None)
        if attempt is not None:
            # The sum is set to 0 when no attempt is left, so that rounding errors do not add up.
            self.in_flight_weight = self.in_flight_weight - attempt.weight if self.counted_attempts else 0.0

    def update_mean_time_in_flight(self, now: float) -> float:
        """Update and return the mean time that attempts stay in flight, in latency objectives.

        By Little's law it is the number of attempts in flight divided by the rate at which they are sent, so
        it grows even before an answer arrives.  Each attempt counts only for a limited time, so that a few
        lost attempts do not look like an overload.
        """
        while self.counted_attempts and next(iter(self.counted_attempts.values())).counted_until < now:
            self._stop_counting(next(iter(self.counted_attempts)))
        elapsed = min(now - self.updated_at, MAX_DECAY_SPANS * AVERAGING_TIME_S)
        decay_factor = exp(-elapsed / AVERAGING_TIME_S)
        weight = self.in_flight_weight * AVERAGING_TIME_S + BUSY_LATENCY_SHARE
        self.mean_in_flight_weight = self.mean_in_flight_weight * decay_factor + weight * (1 - decay_factor)
        self.mean_send_count = self.mean_send_count * decay_factor + (1 - decay_factor)
        self.updated_at = now
        return self.mean_in_flight_weight / self.mean_send_count

    def shed_share(self, now: float) -> float:
        """Return the share of requests to shed: 1 or more for all, 0 or less for none.

        A value below 0 expresses spare capacity.  The share is computed from the utilization of the
        concurrency limits and from the mean time in flight; the greater result applies.
        """
        utilization = (
            self.load_totals.attempts_in_flight / self.load_totals.limit if self.load_totals.limit else 1.0
        )
        share_by_time = (self.update_mean_time_in_flight(now) - SHED_START_TIME) / (
            SHED_ALL_TIME - SHED_START_TIME
        )
        share_by_utilization = (utilization - SHED_START_UTILIZATION) / (1 - SHED_START_UTILIZATION)
        return max(share_by_utilization, share_by_time)
