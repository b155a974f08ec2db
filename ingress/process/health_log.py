"""The health of a running ingress in its log: how late the event loop is, and what has happened."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ingress.network.event_counts import EventCounts
from ingress.network.rate_limited_log import RateLimitedLog

log = logging.getLogger(__name__)

LAG_CHECK_INTERVAL_S = 0.1  # between measurements of the lag
LATE_LOOP_LAG_S = 0.1  # lag from which it is logged: requests wait at least as long
STATUS_INTERVAL_S = 10.0  # between status lines, of which none is logged while nothing happens
MAX_LOGGED_LAGS = 50  # late turns of the loop that are logged one by one; of the later ones only a sample is


class HealthLog:
    """Measures the lag of the event loop, and logs it with the counts of events.

    The lag is the time by which a timer of the loop fires late: callbacks before it took as long, or the
    process did not run.
    """

    def __init__(self, counts: EventCounts, describe_load: Callable[[], str]) -> None:
        """Create a log that is not started; `describe_load` returns the fields that tell the present load."""
        self.max_lag_s = 0.0  # since the last status line
        self._counts = counts
        self._describe_load = describe_load
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._next_status_at = 0.0
        self._last_counts = ""
        self._lag_log = RateLimitedLog(log, MAX_LOGGED_LAGS)

    def start(self) -> None:
        """Start to measure and to log."""
        now = self._loop.time()
        self._next_status_at = now + STATUS_INTERVAL_S
        self._schedule(now)

    def close(self) -> None:
        """Stop, after a last status line."""
        if self._timer is not None:
            self._timer.cancel()
        self._log_status()

    def _schedule(self, now: float) -> None:
        due_at = now + LAG_CHECK_INTERVAL_S
        self._timer = self._loop.call_at(due_at, self._check, due_at)

    def _check(self, due_at: float) -> None:
        now = self._loop.time()
        lag_s = now - due_at
        self.max_lag_s = max(self.max_lag_s, lag_s)
        if lag_s > LATE_LOOP_LAG_S:
            self._lag_log.warning("event loop late lag_ms=%d %s", lag_s * 1000, self._describe_load())
        if now >= self._next_status_at:
            self._next_status_at = now + STATUS_INTERVAL_S
            self._log_status()
        self._schedule(now)

    def _log_status(self) -> None:
        counts = self._counts.format()
        if counts != self._last_counts:
            self._last_counts = counts
            log.info("status max_lag_ms=%d %s %s", self.max_lag_s * 1000, self._describe_load(), counts)
        self.max_lag_s = 0.0
