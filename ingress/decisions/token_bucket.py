"""A token bucket that reads no clock: its callers pass the time."""

from dataclasses import dataclass
from math import inf
from typing import NamedTuple

ROUNDING_TOLERANCE = 1e-9  # units by which rounding errors may make a sum of fractions too small


@dataclass(slots=True)
class TokenBucket:
    """A bucket of units that refills at a constant rate up to its capacity."""

    rate: float
    """Units per second by which the bucket refills."""
    capacity: float
    """Units up to which the bucket refills."""
    level: float
    """Units in the bucket at `updated_at`; below zero if more was taken than the bucket held."""
    updated_at: float
    """Time in seconds of the last refill."""

    def has_units(self, now: float, units: float, capacity: float | None = None) -> bool:
        """Refill the bucket and return whether it holds `units`.

        `capacity` replaces the bucket's own capacity in this call, so that the bucket can collect the units
        for a request larger than that.
        """
        capacity = self.capacity if capacity is None else capacity
        refilled = self.level + self.rate * (now - self.updated_at)
        self.level = min(max(capacity, self.level), refilled)
        self.updated_at = now
        return self.level >= units - ROUNDING_TOLERANCE

    def refill(self, now: float) -> None:
        """Add the units that have accrued since the last refill."""
        self.has_units(now, 0.0)

    def take_units(self, units: float, floor: float = -inf) -> float:
        """Take up to `units` without letting the level fall below `floor`; return the units taken.

        A level that is below `floor` already is raised to it, and the result is negative.
        """
        taken = min(units, self.level - floor)
        self.level -= taken
        return taken

    def refund_units(self, units: float) -> None:
        """Put units back, up to the capacity; negative units are taken, and the level may fall below zero."""
        self.level = min(max(self.capacity, self.level), self.level + units)

    def rescale(self, now: float, factor: float) -> None:
        """Multiply the rate and the capacity by `factor`.

        The level is only limited to the new capacity, and never raised: units added here would exceed the
        limit that the bucket shares with other gateways.
        """
        self.refill(now)
        self.rate *= factor
        self.capacity *= factor
        self.level = min(self.level, self.capacity)


class Charge(NamedTuple):
    """Units that were taken from a bucket and can be refunded to it."""

    bucket: TokenBucket
    units: float
