"""An estimate of what is left of a customer's complete quota after the use of all gateways."""

from math import exp

import ingress.interface as api
from ingress.decisions.constants import NEVER

LIFETIME_SHARE = 0.5  # lifetime of a report of use, as a share of the time in which a burst refills
DEFAULT_LIFETIME_S = 1.0  # lifetime of a report of use for plans without a rate


class QuotaEstimate:
    """The estimated level of the token bucket that all gateways share for one customer.

    The estimate is a local copy of that bucket, from which the use that the counter or the peers report is
    subtracted.  Between two reports, the other gateways are assumed to keep using units at the rate that the
    last report showed.
    """

    __slots__ = (
        "capacity",
        "has_undersized_slice",
        "level_at_update",
        "lifetime",
        "own_use",
        "peer_use_rate",
        "rate",
        "reported_at",
        "updated_at",
    )

    def __init__(self, plan: api.Plan, now: float, has_undersized_slice: bool) -> None:
        self.rate = plan.rate
        """Units per second by which the quota refills."""
        self.capacity = plan.burst
        """Maximum number of units in the quota."""
        self.has_undersized_slice = has_undersized_slice
        """Whether the customer's slice is smaller than the largest request."""
        self.lifetime = LIFETIME_SHARE * plan.burst / plan.rate if plan.rate else DEFAULT_LIFETIME_S
        """Seconds for which a report is valid."""
        self.level_at_update = plan.burst
        """Units left at `updated_at`."""
        self.own_use = 0.0
        """Units used by this gateway since `updated_at`."""
        self.peer_use_rate = 0.0
        """Units per second that the other gateways are assumed to use."""
        self.updated_at = now
        """Time in seconds of the last report; before the first one, of the customer's first request."""
        self.reported_at = NEVER
        """Time in seconds of the last report; `NEVER` before the first one."""

    def is_fresh(self, now: float) -> bool:
        """Return whether the last report is still valid."""
        return now - self.reported_at <= self.lifetime

    def level(self, now: float) -> float:
        """Return the units left if the other gateways use units at the assumed rate.

        Unless the slice is undersized, the assumed rate decays exponentially with the age of the report.
        """
        elapsed = now - self.updated_at
        if self.has_undersized_slice:
            peer_use_time = elapsed
        else:
            peer_use_time = self.lifetime * (1.0 - exp(-elapsed / self.lifetime))
        return min(
            self.capacity,
            self.level_at_update + self.rate * elapsed - self.peer_use_rate * peer_use_time - self.own_use,
        )

    def record_peer_use(self, now: float, units: float) -> None:
        """Update the estimate from a peer's report that it has used `units` since its last report."""
        elapsed = now - self.updated_at
        level = self.level_at_update + self.rate * elapsed - self.own_use - units
        self.level_at_update = max(-self.capacity, min(self.capacity, level))
        decayed_rate = self.peer_use_rate * exp(-elapsed / self.lifetime)
        self.peer_use_rate = decayed_rate + units / max(elapsed, self.lifetime)
        self._mark_reported(now)

    def record_total(
        self, now: float, level: float, peer_units_increase: float, count_started_at: float
    ) -> None:
        """Update the estimate from a total of the counter.

        The total shows that `level` units are left, and that the other gateways have used
        `peer_units_increase` units since the last report, or since `count_started_at` if there was none.
        """
        since = count_started_at if self.reported_at == NEVER else self.reported_at
        self.peer_use_rate = max(0.0, peer_units_increase) / max(now - since, self.lifetime)
        self.level_at_update = min(self.capacity, level)
        self._mark_reported(now)

    def _mark_reported(self, now: float) -> None:
        self.own_use = 0.0
        self.updated_at = now
        self.reported_at = now
