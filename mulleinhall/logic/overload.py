"""Overload protection: how much of the traffic to shed, and which requests first."""

import random
from collections import deque
from math import exp

import mulleinhall.interface as api
from mulleinhall.logic.backend import BUSY_WAIT
from mulleinhall.logic.common import NEVER, SLOW_SMOOTHING
from mulleinhall.logic.request import PendingRequest

SPARE_SHARE = 0.55  # of what the backends may hold: beyond it the least worth is shed first
WAIT_SHED_FROM, WAIT_SHED_ALL = 0.2, 0.45  # of the aim: mean time out at which shedding begins and is total
AVERAGING_TIME = 3.0  # s over which the mean time out is taken: some answers at one gateway of hundreds
REMEMBERED_REQUESTS = 256  # whose worth is compared


class AnswerTimes:
    """Mean answer times by class, and the mean size of a request."""

    def __init__(self, settings: api.Settings) -> None:
        self.least = settings.tick
        self.means: dict[str, float] = {}
        self.mean_units = 1.0

    def mean(self, request_class: api.RequestClass) -> float:
        """The mean answer time (s); an eighth of the aim until an answer has come."""
        return max(self.means.get(request_class.name, request_class.aim / 8), self.least)

    def slowest(self, default: float) -> float:
        """The largest mean of all classes."""
        return max(self.means.values(), default=default)

    def record(self, request_class: api.RequestClass, latency: float) -> None:
        """Learns from an answer; one later than the aim counts as the aim."""
        mean = self.means.setdefault(request_class.name, latency)
        self.means[request_class.name] = mean + SLOW_SMOOTHING * (min(latency, request_class.aim) - mean)

    def work(self, request: PendingRequest) -> float:
        """How much work a request is likely to bring, beside the mean request."""
        means = list(self.means.values()) or [self.mean(request.request_class)]
        relative = self.mean(request.request_class) * len(means) / sum(means)
        return relative * request.units / max(self.mean_units, 1e-6)


class OverloadGuard:
    """Tells a jam by how long attempts stay out, and ranks requests by their worth for the work."""

    def __init__(self, answer_times: AnswerTimes, rng: random.Random) -> None:
        self.answer_times = answer_times
        self.rng = rng
        self.worth_per_work: deque[float] = deque(maxlen=REMEMBERED_REQUESTS)
        # For each attempt out: when it stops to count, and its weight.
        self.attempts_out: dict[tuple[str, int], tuple[float, float]] = {}
        self.weight_out = BUSY_WAIT
        self.sends = 1.0
        self.updated_at = NEVER

    def begin(self, now: float, key: tuple[str, int], request_class: api.RequestClass) -> None:
        """An attempt was sent."""
        self.mean_wait(now)
        self.sends += 1.0
        self.attempts_out[key] = now + WAIT_SHED_ALL * request_class.aim, 1 / request_class.aim

    def end(self, now: float, key: tuple[str, int]) -> None:
        """An attempt ended."""
        self.mean_wait(now)
        self.attempts_out.pop(key, None)

    def mean_wait(self, now: float) -> float:
        """The mean time that attempts stay out, in aims, by Little's law: the number out over the rate of
        sends.  It shows a jam before any answer comes.  An attempt counts for a bounded time, so that a few
        which never end do not look like a jam."""
        while self.attempts_out and next(iter(self.attempts_out.values()))[0] < now:
            del self.attempts_out[next(iter(self.attempts_out))]
        elapsed = min(now - self.updated_at, 100 * AVERAGING_TIME)
        keep = exp(-elapsed / AVERAGING_TIME)
        out = sum(weight for _, weight in self.attempts_out.values())
        self.weight_out = self.weight_out * keep + (out * AVERAGING_TIME + BUSY_WAIT) * (1 - keep)
        self.sends = self.sends * keep + (1 - keep)
        self.updated_at = now
        return self.weight_out / self.sends

    def pressure(self, now: float, out: float, limits: float) -> float:
        """The share of requests to shed, from `out` attempts under the sum of all `limits` and from the
        mean time out; below zero there is room."""
        used = out / limits if limits else 1.0
        by_limits = (used - SPARE_SHARE) / (1 - SPARE_SHARE)
        by_wait = (self.mean_wait(now) - WAIT_SHED_FROM) / (WAIT_SHED_ALL - WAIT_SHED_FROM)
        return max(by_limits, by_wait)

    def rank(self, request: PendingRequest) -> float:
        """The share of recent requests that are worth less for their work than this one."""
        times = self.answer_times
        times.mean_units += (request.units - times.mean_units) * SLOW_SMOOTHING
        cls = request.request_class
        worth = cls.worth * (cls.late_worth if request.too_late else 1.0)
        density = worth * request.plan.price / times.mean(cls)
        self.worth_per_work.append(density)
        below = sum(other < density for other in self.worth_per_work)
        same = self.worth_per_work.count(density)
        return (below + self.rng.random() * same) / len(self.worth_per_work)
