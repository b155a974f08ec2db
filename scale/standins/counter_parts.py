"""The parts of the counter stand-in: each holds totals by name and a queue that is served at a fixed rate."""

from __future__ import annotations

from dataclasses import dataclass

ROUNDING_TOLERANCE_CALLS = 1e-6  # keeps rounding errors from admitting one call more than the queue holds


@dataclass(slots=True)
class Total:
    """The total of one name."""

    value: float
    expires_at: float
    """When the name expires, on the clock of the event loop."""


class CounterPart:
    """One part of the counter: it serves calls one after another at a fixed rate, from a bounded queue."""

    def __init__(self, calls_per_s: float, max_queued_calls: int) -> None:
        self.calls_per_s = calls_per_s
        self.max_queued_calls = max_queued_calls
        self.free_at = 0.0  # time of the event loop at which all queued calls are done
        self.totals: dict[bytes, Total] = {}

    def queue_call(self, now: float) -> float | None:
        """Queue a call that arrives now; return when it will be done, or None if the queue is full."""
        begins_at = max(now, self.free_at)
        if (begins_at - now) * self.calls_per_s >= self.max_queued_calls - ROUNDING_TOLERANCE_CALLS:
            return None
        self.free_at = begins_at + 1 / self.calls_per_s
        return self.free_at

    def add(self, name: bytes, amount: float, lifetime_s: float, now: float) -> float:
        """Add an amount to the total of a name, and return the new total.

        A name that is new or has expired begins at 0 and gets the given lifetime.
        """
        total = self.totals.get(name)
        if total is None or total.expires_at <= now:
            total = Total(0.0, now + lifetime_s)
            self.totals[name] = total
        total.value += amount
        return total.value

    def remove_expired_names(self, now: float) -> None:
        """Remove the names whose lifetime has ended."""
        for name in [name for name, total in self.totals.items() if total.expires_at <= now]:
            del self.totals[name]
