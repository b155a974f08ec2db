"""A token bucket whose clock is passed in."""

ROUNDING = 1e-9  # units: sums of fractions may fall short by this much


class TokenBucket:
    """Fills at `rate` units a second up to `capacity`."""

    def __init__(self, rate: float, capacity: float, level: float, now: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = level
        self.updated_at = now

    def fits(self, now: float, units: float, capacity: float | None = None) -> bool:
        """Whether the bucket holds `units` now; `capacity` replaces its own for this call."""
        capacity = self.capacity if capacity is None else capacity
        filled = self.level + self.rate * (now - self.updated_at)
        self.level = min(max(capacity, self.level), filled)
        self.updated_at = now
        return self.level >= units - ROUNDING

    def take(self, units: float, floor: float = float("-inf")) -> float:
        """Takes `units`, but none below `floor`; returns what was taken."""
        taken = min(units, self.level - floor)
        self.level -= taken
        return taken

    def refund(self, units: float) -> None:
        """Returns units to the bucket, up to its capacity."""
        self.level = min(max(self.capacity, self.level), self.level + units)

    def rescale(self, now: float, factor: float) -> None:
        """Multiplies rate and capacity.  The level stays: a new full bucket would exceed the shared limit."""
        self.fits(now, 0.0)
        self.rate *= factor
        self.capacity *= factor
        self.level = min(self.level, self.capacity)
