"""A model of the counter: totals by name, and a queue for each of its parts.

Only some ingresses of the fleet are simulated.  The others are assumed to call as often, so the simulated
ones have only their share of the capacity.  The queue is modelled as a fluid: the calls of the entire fleet
arrive evenly, so a queue grows only while the rate of calls exceeds the capacity.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import exp

from ingress.interface import CounterReply, IncrementCounter, Outcome
from scale.slopes.job import CounterModel, Sizes

RATE_WINDOW_S = 0.25  # time constant of the moving average of the call rate


@dataclass(frozen=True, slots=True)
class DelayedReply:
    """A reply to a call, and when the ingress receives it."""

    received_at: float
    """In seconds on the simulated clock."""
    reply: CounterReply


class CounterPart:
    """One part of the counter: its queue and the rate of the calls to it."""

    def __init__(self, capacity: float, max_queue_s: float) -> None:
        self.queue_s = 0.0
        self._capacity = capacity  # calls per second available to the simulated ingresses
        self._max_queue_s = max_queue_s
        self._call_rate = 0.0
        self._last_call_at = 0.0

    def queue_call(self, now: float) -> bool:
        """Add a call to the queue; return False if it is rejected because the queue is full."""
        elapsed_s = now - self._last_call_at
        decay = exp(-elapsed_s / RATE_WINDOW_S)
        calls = self._call_rate * RATE_WINDOW_S * (1 - decay)
        queue_s = self.queue_s + calls / self._capacity - elapsed_s
        self.queue_s = min(max(queue_s, 0.0), self._max_queue_s)
        self._call_rate = self._call_rate * decay + 1 / RATE_WINDOW_S
        self._last_call_at = now
        return self.queue_s < self._max_queue_s


class CounterStandIn:
    """The counter, with the share of its capacity that `caller_count` ingresses of a fleet have."""

    def __init__(
        self, model: CounterModel, sizes: Sizes, caller_count: int, timeout_s: float, seed: int
    ) -> None:
        part_capacity = caller_count * model.calls_per_request * sizes.requests_per_s / model.parts
        self._parts = [CounterPart(part_capacity, model.max_queue_s) for _ in range(model.parts)]
        self._model = model
        self._timeout_s = timeout_s
        self._rng = random.Random(seed)
        self._totals: dict[int, float] = {}  # by the name of a count

    def call(self, now: float, action: IncrementCounter) -> DelayedReply:
        """Handle a call, and return its reply with the time at which the ingress receives it."""
        part = self._parts[hash(action.name) % len(self._parts)]
        latency_s = self._model.latency_s + self._rng.expovariate(1 / self._model.jitter_s)
        if not part.queue_call(now):
            return self._build_reply(now, action, Outcome.REJECTED, 0.0, latency_s)
        total = self._totals[action.name] = self._totals.get(action.name, 0.0) + action.add
        latency_s += part.queue_s
        if latency_s > self._timeout_s:
            return self._build_reply(now, action, Outcome.TIMEOUT, 0.0, self._timeout_s)
        return self._build_reply(now, action, Outcome.OK, total, latency_s)

    @staticmethod
    def _build_reply(
        now: float, action: IncrementCounter, outcome: Outcome, total: float, latency_s: float
    ) -> DelayedReply:
        reply = CounterReply(name=action.name, outcome=outcome, total=total, latency=latency_s)
        return DelayedReply(now + latency_s, reply)
