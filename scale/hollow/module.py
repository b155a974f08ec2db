"""The decision module of one hollow ingress, with a measurement of the CPU time of each event."""

from __future__ import annotations

import time
from collections.abc import Callable

import ingress.interface as api
from ingress.decisions import Gateway
from ingress.event_queue import EventQueue
from ingress.network.clock import Clock
from scale.experiment.world import WorkerState
from scale.hollow.requests import RequestTable


class MeteredModule:
    """Hands events to a decision module, records the CPU time, and passes the actions to `execute`."""

    def __init__(
        self,
        gateway: Gateway,
        clock: Clock,
        worker_state: WorkerState,
        requests: RequestTable,
        execute: Callable[[api.Action], None],
    ) -> None:
        self._gateway = gateway
        self._clock = clock
        self._worker_state = worker_state
        self._requests = requests
        self._execute = execute
        self._is_stopped = False
        self._events = EventQueue(self._handle)

    def feed(self, event: api.Event) -> None:
        """Handle an event now, or after the one that is being handled; ignore it after `stop`."""
        self._events.feed(event)

    def stop(self) -> None:
        """Ignore all events from now on."""
        self._is_stopped = True

    def _handle(self, event: api.Event) -> None:
        if self._is_stopped:
            return
        request_id = getattr(event, "id", "")
        request = self._requests.get(request_id)
        started_at = time.thread_time()
        actions = list(self._gateway.handle(self._clock(), event))
        cpu_s = time.thread_time() - started_at
        if isinstance(event, api.EndpointUpdate) and event.kind is api.EndpointUpdateKind.UPDATE:
            self._worker_state.change_cpu.record(cpu_s)
        if request is not None:
            request.cpu_s += cpu_s
        self._requests.arriving_request = request if isinstance(event, api.Request) else None
        if isinstance(event, api.AttemptEnded) and event.finished and request is not None:
            self._requests.finish(request_id, "served")
        for action in actions:
            self._execute(action)
        self._requests.arriving_request = None
