"""The adaptive limit on the attempts in flight at one backend: additive increase, multiplicative decrease."""

from dataclasses import dataclass

from ingress.decisions.constants import SMOOTHING_FACTOR

BUSY_LATENCY_SHARE = 0.18  # of the latency objective: a backend with a longer mean answer time is overloaded
INITIAL_LIMIT = 1.0  # attempts in flight before the first answer
MIN_LIMIT = 1.0  # attempts in flight; no decrease goes below it
DECREASE_FACTOR = 0.85  # a decrease multiplies the limit by this
MIN_UTILIZATION_TO_INCREASE = 0.275  # share of the limit that must be in use for an answer to raise it


@dataclass(slots=True)
class ConcurrencyLimit:
    """The limit and the observations that it is derived from.

    Each method that changes the limit returns the difference between the new and the old limit.
    """

    decreased_at: float
    """Time of the last decrease (s), initially the time at which the backend's process became known."""
    limit: float = INITIAL_LIMIT
    """Number of attempts that may be in flight."""
    mean_latency_share: float = BUSY_LATENCY_SHARE
    """Running mean of the answer times, each as a share of its latency objective."""
    was_decreased: bool = False
    """Whether the limit was ever decreased.

    Until then each quick answer raises the limit by 1; afterwards, by 1 / `limit`.
    """

    @property
    def is_busy(self) -> bool:
        """Whether the mean answer time is so long that the backend has no spare capacity."""
        return self.mean_latency_share >= BUSY_LATENCY_SHARE

    def set_limit(self, limit: float) -> float:
        """Set the limit and return the change."""
        change = limit - self.limit
        self.limit = limit
        return change

    def record_answer(self, now: float, latency: float, latency_objective: float, in_flight: int) -> float:
        """Adapt the limit after an answer that took `latency` seconds; return the change.

        `in_flight` is the number of other attempts in flight at the backend.
        """
        latency_share = latency / latency_objective
        self.mean_latency_share += SMOOTHING_FACTOR * (latency_share - self.mean_latency_share)
        if self.mean_latency_share > BUSY_LATENCY_SHARE:
            return self.decrease(now, latency, in_flight)
        is_quick = latency < BUSY_LATENCY_SHARE * latency_objective
        if is_quick and in_flight + 1 >= MIN_UTILIZATION_TO_INCREASE * self.limit:
            step = 1.0 / max(self.limit, 1.0) if self.was_decreased else 1.0
            return self.set_limit(self.limit + step)
        return 0.0

    def decrease(self, now: float, min_interval: float, in_flight: int) -> float:
        """Decrease the limit unless it was decreased less than `min_interval` seconds ago.

        Return the change, which is 0 if the limit is not decreased.
        """
        if now - self.decreased_at < min_interval:
            return 0.0
        self.decreased_at = now
        self.was_decreased = True
        # If the limit is far above the number of attempts in flight, the decrease starts from that number:
        # otherwise the limit would restrict nothing until it had been decreased many times.
        return self.set_limit(max(MIN_LIMIT, min(self.limit, in_flight + 1.0) * DECREASE_FACTOR))
