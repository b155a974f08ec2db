"""Simulates the clients, the backends and the counter of one decision module on a simulated clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TypeAlias

from ingress.interface import (
    Action,
    AttemptEnded,
    EndpointUpdate,
    Event,
    Fail,
    IncrementCounter,
    Outcome,
    Reject,
    Request,
    SendAttempt,
    SetTimer,
    TimerFired,
)
from scale.schedule import Schedule
from scale.slopes.counter import CounterStandIn
from scale.slopes.ledger import Ledger
from scale.slopes.meters import Meter
from scale.slopes.traffic import Arrival

BACKEND_LATENCY_S = 0.1  # time from an attempt to the reply of its backend
MAX_DRAIN_S = 10.0  # simulated time after which `drain` ends, even if requests are still open
BuildChange: TypeAlias = Callable[[float], EndpointUpdate]  # takes the simulated time (s)
SimulationItem: TypeAlias = Event | Arrival | BuildChange


class Simulation:
    """The decision module of one ingress, with stand-ins for everything else."""

    def __init__(self, meter: Meter, counter: CounterStandIn, start: float) -> None:
        self.meter = meter
        self.counter = counter
        self.now = start
        self.ledger = Ledger()
        self._schedule: Schedule[SimulationItem] = Schedule()
        self._arrivals: Iterator[Arrival] | None = None
        self._change_interval_s = 0.0

    def start_arrivals(self, arrivals: Iterator[Arrival]) -> None:
        """Let requests arrive from now on."""
        self._arrivals = arrivals
        self._schedule_next_arrival()

    def start_changes(self, build_change: BuildChange, changes_per_s: float) -> None:
        """Let the endpoint list change from now on, at even intervals."""
        self._change_interval_s = 1 / changes_per_s
        self._schedule.add(self.now + self._change_interval_s, build_change)

    def run(self, should_stop: Callable[[], bool]) -> None:
        """Handle events until `should_stop` returns true or no more are scheduled."""
        while self._schedule and not should_stop():
            self._handle_next()

    def run_until(self, end: float) -> None:
        """Handle all events that are due before `end`."""
        while self._schedule.is_due_before(end):
            self._handle_next()
        self.now = max(self.now, end)

    def drain(self) -> None:
        """Stop the arrivals, and handle events until no request is open or MAX_DRAIN_S have passed."""
        self._arrivals = None
        ends_at = self.now + MAX_DRAIN_S
        self.run(lambda: not self.ledger.open_requests or self.now > ends_at)

    def feed(self, event: Event) -> None:
        """Hand one event to the decision module at the present simulated time."""
        self._handle(event)

    def _schedule_next_arrival(self) -> None:
        if self._arrivals is not None:
            arrival = next(self._arrivals)
            self._schedule.add(arrival.arrives_at, arrival)

    def _handle_next(self) -> None:
        scheduled = self._schedule.pop()
        self.now = max(self.now, scheduled.due_at)
        if isinstance(scheduled.item, Arrival):
            if self._arrivals is not None:
                self._handle(scheduled.item.request)
                self._schedule_next_arrival()
        elif callable(scheduled.item):
            self._handle(scheduled.item(self.now))
            self._schedule.add(self.now + self._change_interval_s, scheduled.item)
        else:
            self._handle(scheduled.item)

    def _handle(self, event: Event) -> None:
        if isinstance(event, Request):
            self.ledger.record_arrival(event, self.now)
        actions = self.meter.handle(self.now, event)
        self.ledger.charge_cost(event, self.meter.last_cost)
        for action in actions:
            self._execute(action, event)
        if isinstance(event, Request):
            self.ledger.finish_arrival(event.id)
        if isinstance(event, AttemptEnded) and event.finished:
            self.ledger.record_served(event.id)

    def _execute(self, action: Action, cause: Event) -> None:
        match action:
            case SendAttempt(id=request_id, backend=backend_id):
                self._send_attempt(request_id, backend_id)
            case Reject(id=request_id):
                self.ledger.record_rejection(request_id, self.now)
            case Fail(id=request_id):
                self.ledger.record_failure(request_id, self.now)
            case SetTimer(delay=delay, token=token):
                self._schedule.add(self.now + max(0.0, delay), TimerFired(token))
            case IncrementCounter():
                delayed_reply = self.counter.call(self.now, action)
                self._schedule.add(delayed_reply.received_at, delayed_reply.reply)
                self.ledger.record_counter_call(action, cause, delayed_reply.reply)

    def _send_attempt(self, request_id: str, backend_id: str) -> None:
        ended = AttemptEnded(
            id=request_id,
            attempt=self.ledger.record_attempt(request_id, self.now),
            backend=backend_id,
            outcome=Outcome.OK,
            latency=BACKEND_LATENCY_S,
            finished=True,
        )
        self._schedule.add(self.now + BACKEND_LATENCY_S, ended)
