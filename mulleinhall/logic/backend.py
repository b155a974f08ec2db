"""One backend as this gateway sees it: attempts out, health, concurrency limit, and cold-start budget."""

import mulleinhall.interface as api
from mulleinhall.logic.common import SMOOTHING
from mulleinhall.logic.token_bucket import TokenBucket

BUSY_WAIT = 0.18  # of the aim: a backend whose answers take longer on the mean holds too much
INITIAL_LIMIT = 1.0  # attempts out at a backend before its first answer; good answers raise it
LIMIT_DECREASE = 0.85  # a busy backend's limit shrinks to this share
LIMIT_USED = 0.275  # share of a limit that must be used before it is raised
STALL_FACTOR = 4.0  # mean answer times: a backend that holds work and is silent for longer has stalled
FAILURES_TO_EJECT = 3  # errors or time-outs in a row
REJECTIONS_TO_EJECT = 2  # requests turned away in a row: it is about to leave, or full for everybody
MOST_BACKOFF_DOUBLINGS, MOST_REJECTION_DOUBLINGS = 4, 5
CROSS_ZONE_FACTOR = 1.1  # a backend of another zone counts as this much busier: a tie-break
LEAST_PACE = 0.2  # of the mean answer time: no backend counts as faster than this
SILENCE_PER_PACE = 3.0  # mean answer times of silence that count like one more answer time


class TrackedBackend:
    """A backend that this gateway may send to."""

    def __init__(self, info: api.Backend, now: float, budget_level: float = 0.0,
                 marks: tuple[int, int] = (0, 0)) -> None:
        self.info = info
        self.marks = marks  # its positions on the rings
        self.ready = True
        self.attempts_out: dict[tuple[str, int], float] = {}  # and when each was sent, in that order
        self.holders = 1  # gateways that have it in their subset
        self.preferred = True  # whether this gateway does
        self.restarted(now, budget_level)

    def restarted(self, now: float, budget_level: float) -> None:
        """Forgets all that was learned of an earlier process.

        A cold budget is far below one attempt a second.  Budgets that all start at the same level would
        release their first attempts at one moment; levels drawn evenly from 0 to 1 spread them."""
        self.pace, self.pace_at = 1.0, now  # its answer time over the mean of the class
        self.mean_wait = BUSY_WAIT  # answer time over the aim
        self.limit = INITIAL_LIMIT
        self.limit_cut_at, self.limit_was_cut = now, False
        self.failures, self.rejections = 0, 0  # each in a row
        self.unreachable = False
        self.retry_at, self.heard_at = now, now
        self.cold_budget = TokenBucket(0.0, 1.0, budget_level, now)

    def cold(self, now: float, settings: api.Settings) -> bool:
        """Whether it started so recently that it may not have its full capacity."""
        return self.info.started > 0.0 and now < self.info.started + settings.cold_time

    def full(self) -> bool:
        """Whether it holds as much from here as its limit allows."""
        return len(self.attempts_out) >= self.limit

    def answered(self, now: float, latency: float, mean: float, aim: float) -> None:
        """Learns from an answer; `mean` is the class's mean answer time and `aim` its wanted one (s)."""
        self.pace += SMOOTHING * (latency / max(mean, 1e-6) - self.pace)
        self.pace_at, self.heard_at = now, now
        self.rejections = 0
        self.mean_wait += SMOOTHING * (latency / aim - self.mean_wait)
        if self.mean_wait > BUSY_WAIT:
            self.cut_limit(now, latency)
        elif latency < BUSY_WAIT * aim and len(self.attempts_out) + 1 >= LIMIT_USED * self.limit:
            self.limit += 1.0 / max(self.limit, 1.0) if self.limit_was_cut else 1.0

    def cut_limit(self, now: float, interval: float) -> None:
        """Shrinks the limit, at most once in `interval` seconds."""
        if now - self.limit_cut_at < interval:
            return
        self.limit = max(1.0, min(self.limit, len(self.attempts_out) + 1.0) * LIMIT_DECREASE)
        self.limit_cut_at = now
        self.limit_was_cut = True

    def silent_for(self, now: float) -> float:
        """Seconds for which it has held work and answered nothing: one attempt lost beside others that were
        answered does not count."""
        if not self.attempts_out:
            return 0.0
        return now - max(self.heard_at, next(iter(self.attempts_out.values())))

    def stalled(self, now: float, mean: float) -> bool:
        """Whether it holds work and is silent.  One that died without a sign, or runs many times slower,
        would look idle up to a deadline."""
        return self.silent_for(now) > STALL_FACTOR * mean

    def failed(self, now: float, outcome: api.Outcome, patience: float) -> None:
        """Ejects a backend that is dead or stuck and so looks idle: at the first refused connection, after
        a row of errors or time-outs, or after a row of rejections.  The pause doubles with each failure."""
        if outcome is api.Outcome.FULL:
            self._rejected(now, patience)
            return
        self.failures += 1
        self.unreachable = outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET)
        excess = self.failures - (0 if self.unreachable else FAILURES_TO_EJECT - 1)
        if excess > 0:
            self.retry_at = now + patience / 2 * 2.0 ** min(excess - 1, MOST_BACKOFF_DOUBLINGS)

    def _rejected(self, now: float, patience: float) -> None:
        """One that answers others quickly means this request, not its load.  One that drains, of which the
        list tells late, turns everybody away, looks idle and would draw all traffic."""
        self.rejections += 1
        if self.mean_wait < BUSY_WAIT and self.rejections < REJECTIONS_TO_EJECT:
            return
        self.cut_limit(now, 0.0)
        pause = patience / 4 * 2.0 ** min(self.rejections - 1, MOST_REJECTION_DOUBLINGS)
        self.retry_at = max(self.retry_at, now + pause)

    def ejected(self, now: float) -> bool:
        """Whether it gets nothing now.  After the pause, one attempt at a time tries it again."""
        if not self.unreachable and self.failures < FAILURES_TO_EJECT:
            return now < self.retry_at
        return now < self.retry_at or bool(self.attempts_out)

    def load(self, now: float, mean: float, patience: float, zone: str, jitter: float) -> float:
        """What it is thought to hold for its size.  With an exponential `jitter`, idle backends are chosen
        in proportion to their size."""
        decay: float = 0.5 ** ((now - self.pace_at) / (3 * patience))
        pace = 1.0 + (self.pace - 1.0) * decay
        pace = max(pace, self.silent_for(now) / max(mean, 1e-6) / SILENCE_PER_PACE, LEAST_PACE)
        distance = CROSS_ZONE_FACTOR if zone != self.info.zone else 1.0
        return (len(self.attempts_out) + jitter) * pace / max(self.info.weight, 1e-6) * distance
