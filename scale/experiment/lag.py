"""Measure the lag of a process's event loop."""

from __future__ import annotations

import asyncio

from scale.standins.histograms import TimeHistogram

SAMPLING_PERIOD_S = 0.05  # time between two samples


class LagSampler:
    """Records at a fixed period how late the event loop calls the callback of a timer."""

    def __init__(self, lag: TimeHistogram) -> None:
        self._lag = lag
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Take the first sample now, and further ones at the fixed period."""
        self._sample(self._loop.time())

    def stop(self) -> None:
        """Take no further samples."""
        if self._timer is not None:
            self._timer.cancel()

    def _sample(self, due_at: float) -> None:
        now = self._loop.time()
        self._lag.record(max(0.0, now - due_at))
        next_at = now + SAMPLING_PERIOD_S
        self._timer = self._loop.call_at(next_at, self._sample, next_at)
