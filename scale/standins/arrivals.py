"""The requests that arrive at one ingress: a seeded Poisson stream."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from scale.scenario import Scenario
from scale.standins.traffic import DrawnRequest, RequestMix


class Arrivals:
    """Calls `on_request` with each request at the time at which it arrives."""

    def __init__(
        self,
        scenario: Scenario,
        ingress_number: int,
        requests_per_s: float,
        rng: random.Random,
        on_request: Callable[[DrawnRequest], None],
    ) -> None:
        self._mix = RequestMix(scenario, ingress_number, rng)
        self._requests_per_s = requests_per_s
        self._rng = rng
        self._on_request = on_request
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether requests arrive."""
        return self._timer is not None

    def start(self) -> None:
        """Let requests arrive from now on.  At a rate of 0 no request arrives."""
        if self._requests_per_s > 0:
            self._schedule_next(self._loop.time())

    def stop(self) -> None:
        """Let no further request arrive."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule_next(self, last_arrival_at: float) -> None:
        next_arrival_at = last_arrival_at + self._rng.expovariate(self._requests_per_s)
        self._timer = self._loop.call_at(next_arrival_at, self._handle_arrival, next_arrival_at)

    def _handle_arrival(self, scheduled_at: float) -> None:
        self._schedule_next(scheduled_at)
        self._on_request(self._mix.draw_request())
