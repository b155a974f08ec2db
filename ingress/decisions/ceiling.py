"""The hard ceiling of a customer's plan: a limit on units that all gateways together must not exceed."""

from dataclasses import dataclass

import ingress.interface as api
from ingress.decisions.counted_use import MIN_REPORTED_BURSTS, NO_COUNT
from ingress.decisions.token_bucket import Charge, TokenBucket

# Share of the difference between the ceiling's burst and the quota's burst that a new process may use
# immediately.
RESERVE_SHARE = 0.5


@dataclass(slots=True)
class CeilingUse:
    """Use of a ceiling by all gateways, as a reply of the shared counter shows it."""

    count_name: int
    """Name of the count that the reply is for."""
    known_since: float
    """Time in seconds when the count or this process started, whichever was later.

    Since then, this gateway knows all use in the count."""
    peer_units: float
    """Units that the other gateways have added to the count."""
    peer_units_increase: float
    """Units that the other gateways have added since the previous reply."""
    own_units: float
    """Units that this gateway has used since the count began."""


class Ceiling:
    """This gateway's slice of a ceiling, and the complete ceiling as the counter's replies show it."""

    __slots__ = ("fleet_bucket", "last_count_name", "plan", "reserve", "slice")

    def __init__(self, plan: api.Plan, assigned_instances: int, process_age: float, now: float) -> None:
        self.plan = plan
        self.reserve = RESERVE_SHARE * max(0.0, plan.ceiling_burst - plan.burst)
        """Units that a new process may use immediately.

        A new process does not know what was used before it started, so it must not grant the complete
        ceiling again.  It may grant a share of the units that a customer inside its quota never uses."""
        initial_level = min(plan.ceiling_burst, self.reserve + plan.ceiling_rate * process_age)
        self.slice = TokenBucket(
            plan.ceiling_rate / assigned_instances,
            plan.ceiling_burst / assigned_instances,
            initial_level / assigned_instances,
            now,
        )
        """This gateway's part of the ceiling."""
        self.fleet_bucket = TokenBucket(plan.ceiling_rate, plan.ceiling_burst, initial_level, now)
        """The complete ceiling as of the counter's last reply, minus this gateway's use since then."""
        self.last_count_name = NO_COUNT
        """Name of the count that `fleet_bucket` was last updated from."""

    def has_units(self, now: float, units: float, assigned_instances: int, total_is_current: bool) -> bool:
        """Return whether the slice or, if `total_is_current`, the complete ceiling has `units`.

        `total_is_current` says that the counter's total has arrived at `now`.  In addition to
        `units`, the complete ceiling must have the units that the other gateways may have used without
        reporting them, minus half of the ceiling slack.
        """
        unreported_by_peers = (
            assigned_instances - 1
        ) * MIN_REPORTED_BURSTS * self.plan.burst - self.plan.ceiling_slack / 2
        is_in_fleet_bucket = total_is_current and self.fleet_bucket.has_units(
            now, units + max(0.0, unreported_by_peers)
        )
        return self.slice.has_units(now, units) or is_in_fleet_bucket

    def charge_units(self, units: float) -> list[Charge]:
        """Charge `units` to both buckets and return the charges; the slice does not fall below zero."""
        return [
            Charge(self.fleet_bucket, self.fleet_bucket.take_units(units)),
            Charge(self.slice, self.slice.take_units(units, 0.0)),
        ]

    def update_from_count(self, now: float, use: CeilingUse, count_was_lost: bool) -> None:
        """Update the bucket of the complete ceiling from a reply of the counter.

        A count that is new, or that the counter has lost, does not include earlier use.  In that case the
        bucket is assumed to have held the reserve at `use.known_since`, or at `now` if the count was lost.
        """
        self.fleet_bucket.refill(now)
        if self.last_count_name == use.count_name and not count_was_lost:
            self.fleet_bucket.level -= max(0.0, use.peer_units_increase)
            return
        known_since = now if count_was_lost else use.known_since
        refilled = min(
            self.fleet_bucket.capacity, self.reserve + self.fleet_bucket.rate * (now - known_since)
        )
        level = refilled - max(0.0, use.peer_units) - use.own_units
        self.fleet_bucket.level = max(0.0, level) if self.last_count_name == NO_COUNT else level
        self.last_count_name = use.count_name
