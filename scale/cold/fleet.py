"""A fleet of decision modules on a simulated clock, in which some backends start cold."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ingress.decisions import Gateway
from ingress.interface import (
    Action,
    AttemptEnded,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Outcome,
    Request,
    SendAttempt,
    SetTimer,
    TimerFired,
)
from scale.cold.backends import BackendQueues, plan_replacement
from scale.cold.job import ColdStartJob
from scale.cold.settings import CLASS_NAME, DEADLINE_S, PLAN_NAME, build_settings
from scale.schedule import Schedule

START_TIME_S = 1_000_000.0  # first time of the simulated clock
NETWORK_ROUND_TRIP_S = 0.002
CONNECTION_REFUSED_S = 0.001  # time until a connection to a removed backend is refused


@dataclass(slots=True)
class SimulationRecord:
    """The numbers of requests, and the attempts that arrived at cold backends."""

    request_count: int = 0
    sent_request_count: int = 0
    """Requests of which an attempt was sent."""
    arrivals_from_informed: dict[str, list[float]] = field(default_factory=dict)
    """By cold backend: its age (s) at each attempt from an ingress that knew of the cold starts."""
    arrivals_from_uninformed: dict[str, list[float]] = field(default_factory=dict)
    """By cold backend: its age (s) at each attempt from an ingress that did not know of them yet."""


@dataclass(slots=True)
class Ingress:
    """The decision module of one ingress."""

    gateway: Gateway
    is_informed: bool = False
    """Whether it has received the change of the endpoint list."""
    attempt_counts: dict[str, int] = field(default_factory=dict)
    """By request: the number of attempts sent so far."""


class Fleet:
    """The decision modules of all ingresses.

    Each has its own stream of requests, and receives the change of the endpoint list at its own time.
    """

    def __init__(self, job: ColdStartJob) -> None:
        self._job = job
        self._now = START_TIME_S
        self._rng = random.Random(job.seed)
        self._record = SimulationRecord()
        self._schedule: Schedule[Callable[[], None]] = Schedule()
        self._replacement = plan_replacement(job, START_TIME_S + job.warm_up_s)
        self._queues = BackendQueues(job, self._replacement, self._rng)
        seeds = range(job.seed * job.ingresses, (job.seed + 1) * job.ingresses)
        self._ingresses = [
            Ingress(Gateway(build_settings(job, number), seed)) for number, seed in enumerate(seeds)
        ]

    def simulate(self) -> SimulationRecord:
        """Simulate the warm-up and the cold starts, until all backends are warm."""
        starts_at = self._replacement.starts_at
        for ingress in self._ingresses:
            self._feed(
                ingress, EndpointUpdate(EndpointUpdateKind.RESTORED, self._replacement.initial_backends)
            )
            self._schedule_request(ingress)
            notice_s = self._rng.uniform(0.0, self._job.longest_notice_s)
            self._schedule.add(starts_at + notice_s, partial(self._deliver_update, ingress))
        end = starts_at + self._job.cold_s
        while self._schedule.is_due_before(end):
            scheduled = self._schedule.pop()
            self._now = scheduled.due_at
            scheduled.item()
        return self._record

    def _schedule_request(self, ingress: Ingress) -> None:
        arrives_at = self._now + self._rng.expovariate(self._job.requests_per_s)
        self._schedule.add(arrives_at, partial(self._handle_arrival, ingress))

    def _deliver_update(self, ingress: Ingress) -> None:
        """Give the change of the endpoint list to an ingress."""
        ingress.is_informed = True
        self._feed(ingress, self._replacement.build_update())

    def _handle_arrival(self, ingress: Ingress) -> None:
        self._schedule_request(ingress)
        self._record.request_count += 1
        request_id = str(self._record.request_count)
        self._feed(
            ingress,
            Request(request_id, CLASS_NAME, PLAN_NAME, customer=request_id, remaining_time=DEADLINE_S),
        )

    def _feed(self, ingress: Ingress, event: Event) -> None:
        for action in ingress.gateway.handle(self._now, event):
            self._execute(ingress, action)

    def _execute(self, ingress: Ingress, action: Action) -> None:
        match action:
            case SendAttempt(id=request_id, backend=backend_id):
                self._send_attempt(ingress, request_id, backend_id)
            case SetTimer(delay=delay, token=token):
                self._schedule.add(self._now + delay, partial(self._feed, ingress, TimerFired(token)))

    def _send_attempt(self, ingress: Ingress, request_id: str, backend_id: str) -> None:
        attempt_number = ingress.attempt_counts.get(request_id, 0)
        ingress.attempt_counts[request_id] = attempt_number + 1
        self._record.sent_request_count += attempt_number == 0
        self._record_if_cold(ingress, backend_id)
        if self._now >= self._replacement.starts_at and backend_id in self._replacement.removed_ids:
            outcome = Outcome.CONNECT_FAILED
            latency = CONNECTION_REFUSED_S
        else:
            outcome = Outcome.OK
            latency = NETWORK_ROUND_TRIP_S + self._queues.queue_request(backend_id, self._now)
        ended = AttemptEnded(request_id, attempt_number, backend_id, outcome, latency, outcome is Outcome.OK)
        self._schedule.add(self._now + latency, partial(self._feed, ingress, ended))

    def _record_if_cold(self, ingress: Ingress, backend_id: str) -> None:
        age = self._now - self._replacement.starts_at
        if age >= 0 and backend_id in self._replacement.cold_ids:
            arrivals = (
                self._record.arrivals_from_informed
                if ingress.is_informed
                else self._record.arrivals_from_uninformed
            )
            arrivals.setdefault(backend_id, []).append(age)
