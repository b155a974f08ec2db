"""The state that the hollow ingresses of one worker share: the backends, and the counts and times."""

from __future__ import annotations

from collections import Counter as Tally
from dataclasses import dataclass, field

import ingress.interface as api
from scale.scenario import Scenario
from scale.standins.backend_queue import get_window_number
from scale.standins.histograms import TimeHistogram


@dataclass(slots=True)
class WorkerState:
    """The state of one worker: its backends, and the counts and times of all its hollow ingresses."""

    scenario: Scenario
    zone_by_backend: dict[str, str] = field(default_factory=dict)
    started_at_by_backend: dict[str, float] = field(default_factory=dict)  # Unix time, 0 if long ago
    removed_backends: set[str] = field(default_factory=set)  # backends that have left the list
    silent_zones: set[str] = field(default_factory=set)  # zones whose backends do not answer
    counts: Tally[str] = field(default_factory=Tally)  # requests by outcome, counter calls, violations
    cold_units: dict[str, dict[int, float]] = field(default_factory=dict)  # units by ID@UNIX_TIME and window
    # The CPU time that the decision module takes for a request, and for a change of the endpoint list.
    request_cpu: TimeHistogram = field(default_factory=TimeHistogram)
    change_cpu: TimeHistogram = field(default_factory=TimeHistogram)
    # The waits of the requests that waited for the counter.
    counter_wait: TimeHistogram = field(default_factory=TimeHistogram)
    worker_lag: TimeHistogram = field(default_factory=TimeHistogram)  # lag of the process's event loop

    def apply_backends(self, backends: tuple[api.Backend, ...]) -> None:
        """Apply entries of the endpoint list."""
        for backend in backends:
            self.zone_by_backend[backend.id] = backend.zone
            self.started_at_by_backend[backend.id] = backend.started
            if backend.readiness is api.Readiness.REMOVED:
                self.removed_backends.add(backend.id)
            else:
                self.removed_backends.discard(backend.id)

    def count_cold_units(self, backend: str, units: float, now: float) -> None:
        """Count the units sent to a backend if it is cold."""
        started_at = self.started_at_by_backend.get(backend, 0.0)
        if started_at and now < started_at + self.scenario.backend.cold_s:
            windows = self.cold_units.setdefault(f"{backend}@{started_at:.3f}", {})
            window = get_window_number(now)
            windows[window] = windows.get(window, 0.0) + units

    def is_unreachable(self, backend: str) -> bool:
        """Return whether a connection to the backend is refused."""
        return backend in self.removed_backends or backend not in self.zone_by_backend

    def is_silent(self, backend: str) -> bool:
        """Return whether the backend does not answer."""
        return self.zone_by_backend.get(backend, "") in self.silent_zones
