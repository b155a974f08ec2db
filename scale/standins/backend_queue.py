"""The queue of one backend: its capacity, its latency, and the load that it receives during a cold start."""

from __future__ import annotations

import math
import random
import time

from scale.scenario import BackendModel

COLD_WINDOW_S = 0.1  # length of the windows in which the load of a cold backend is counted


def get_window_number(unix_time: float) -> int:
    """Return the number of the window that a Unix time falls into."""
    return int(unix_time / COLD_WINDOW_S)


def calculate_capacity(model: BackendModel, age_s: float) -> float:
    """Return the units per second that a backend can serve `age_s` seconds after its start.

    During the cold start of `model.cold_s` seconds, the capacity grows linearly from the share
    `model.cold_share` of the full capacity to all of it.
    """
    share = model.cold_share + (1 - model.cold_share) * min(max(age_s / model.cold_s, 0.0), 1.0)
    return model.capacity * share


class BackendQueue:
    """The work that one backend has accepted; it is served in order, at the backend's capacity."""

    def __init__(self, model: BackendModel, rng: random.Random) -> None:
        self.started_at = 0.0  # Unix time of the last cold start; 0 if there was none
        self.cold_units: dict[int, float] = {}  # units received during the last cold start, by window
        self._model = model
        self._rng = rng
        self._free_at = 0.0  # monotonic time at which the last accepted request will have left the queue

    def begin_cold_start(self, started_at: float) -> None:
        """Begin a cold start at a Unix time, and forget the load of the one before."""
        self.started_at = started_at
        self.cold_units = {}

    def calculate_capacity_at(self, unix_time: float) -> float:
        """Return the units per second that the backend can serve at a Unix time."""
        return calculate_capacity(self._model, unix_time - self.started_at)

    def accept_request(self, units: float) -> float | None:
        """Queue a request; return the seconds until its reply, or None if the queue is full."""
        now = time.monotonic()
        unix_time = time.time()
        self._count_cold_units(units, unix_time)
        begins_at = max(now, self._free_at)
        if begins_at - now > self._model.queue_s:
            return None
        self._free_at = begins_at + units / self.calculate_capacity_at(unix_time)
        log_median = math.log(self._model.latency_ms / 1000)
        latency_s = self._rng.lognormvariate(log_median, self._model.latency_sigma)
        return begins_at - now + latency_s

    def _count_cold_units(self, units: float, unix_time: float) -> None:
        if self.started_at and unix_time < self.started_at + self._model.cold_s:
            window = get_window_number(unix_time)
            self.cold_units[window] = self.cold_units.get(window, 0.0) + units
