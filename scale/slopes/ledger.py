"""The costs of a simulation's events: by request, by change of the endpoint list, and for control."""

from __future__ import annotations

from dataclasses import dataclass, field

from ingress.interface import (
    AttemptEnded,
    CounterReply,
    EndpointUpdate,
    Event,
    IncrementCounter,
    Outcome,
    Request,
    TimerFired,
)


@dataclass(slots=True)
class OpenRequest:
    """A request that has no final answer yet."""

    arrived_at: float
    """When it arrived, in seconds on the simulated clock."""
    is_measured: bool
    """Whether it arrived while measuring was on."""
    cost: int = 0
    """The cost of its events so far, in the unit of the meter."""
    attempt_count: int = 0
    """Attempts sent so far."""
    awaits_counter: bool = False
    """Whether it waited for the counter: on arrival, it was neither sent nor given a final answer."""


@dataclass(slots=True)
class Statistics:
    """What was recorded while measuring was on; costs are in the unit of the meter."""

    request_costs: list[int] = field(default_factory=list)
    """The cost of each served request, including its answer."""
    change_costs: list[int] = field(default_factory=list)
    """The cost of each change of the endpoint list."""
    control_cost: int = 0
    """The cost of all timers and counter replies."""
    counter_waits_s: list[float] = field(default_factory=list)
    """The waits for the counter, in seconds, of the requests that waited for it."""
    request_count: int = 0
    rejected_count: int = 0
    failed_count: int = 0
    counter_call_count: int = 0
    unanswered_call_count: int = 0
    """Calls to the counter that were rejected or timed out."""
    counter_bytes: int = 0
    """Bytes of the calls to the counter and of its replies."""


class Ledger:
    """Keeps the open requests, and the statistics of what happened while measuring was on."""

    def __init__(self) -> None:
        self.statistics = Statistics()
        self.is_measuring = False
        self.arrival_count = 0  # requests that have arrived so far, measured or not
        self.open_requests: dict[str, OpenRequest] = {}  # by id
        # By the name of a count: the id of the request that caused the call that is in flight for it.
        self._request_by_count: dict[int, str] = {}

    def record_arrival(self, request: Request, now: float) -> None:
        """Add a request that has just arrived."""
        self.open_requests[request.id] = OpenRequest(now, self.is_measuring)
        self.statistics.request_count += self.is_measuring
        self.arrival_count += 1

    def charge_cost(self, event: Event, cost: int) -> None:
        """Add the cost of an event to its request, and to the costs of changes or of control.

        The cost of a counter reply is added both to the request that caused the call and to control.
        """
        match event:
            case Request(id=request_id) | AttemptEnded(id=request_id):
                if request := self.open_requests.get(request_id):
                    request.cost += cost
            case CounterReply(name=count_name):
                request = self.open_requests.get(self._request_by_count.pop(count_name, ""))
                if request is not None:
                    request.cost += cost
                self.statistics.control_cost += cost * self.is_measuring
            case EndpointUpdate() if self.is_measuring:
                self.statistics.change_costs.append(cost)
            case TimerFired() if self.is_measuring:
                self.statistics.control_cost += cost

    def finish_arrival(self, request_id: str) -> None:
        """Record that the arrival of a request was handled.

        If the request is open and no attempt was sent, it waits for the counter.
        """
        request = self.open_requests.get(request_id)
        if request is not None and not request.attempt_count:
            request.awaits_counter = True

    def record_attempt(self, request_id: str, now: float) -> int:
        """Count an attempt of a request, and return its number."""
        request = self.open_requests[request_id]
        if not request.attempt_count:
            self._record_counter_wait(request, now)
        request.attempt_count += 1
        return request.attempt_count - 1

    def record_served(self, request_id: str) -> None:
        """Close a request that a backend has served."""
        request = self.open_requests.pop(request_id, None)
        if request is not None and request.is_measured:
            self.statistics.request_costs.append(request.cost)

    def record_rejection(self, request_id: str, now: float) -> None:
        """Close a request that the decision module has rejected."""
        request = self._close_unserved(request_id, now)
        self.statistics.rejected_count += request.is_measured

    def record_failure(self, request_id: str, now: float) -> None:
        """Close a request that the decision module has failed."""
        request = self._close_unserved(request_id, now)
        self.statistics.failed_count += request.is_measured

    def record_counter_call(self, call: IncrementCounter, cause: Event, reply: CounterReply) -> None:
        """Count a call to the counter, made because of the event `cause`, and its reply."""
        if isinstance(cause, Request):
            self._request_by_count[call.name] = cause.id
        if self.is_measuring:
            self.statistics.counter_call_count += 1
            self.statistics.unanswered_call_count += reply.outcome is not Outcome.OK
            call_line = f"add {call.name} {call.add:.6g} {round(call.lifetime * 1000)}\r\n"
            self.statistics.counter_bytes += len(call_line) + len(f"ok {reply.total:.7g}\r\n")

    def _close_unserved(self, request_id: str, now: float) -> OpenRequest:
        request = self.open_requests.pop(request_id)
        if not request.attempt_count:
            self._record_counter_wait(request, now)
        return request

    def _record_counter_wait(self, request: OpenRequest, now: float) -> None:
        """Record how long a request waited for the counter until its first attempt or final answer."""
        if request.is_measured and request.awaits_counter:
            self.statistics.counter_waits_s.append(now - request.arrived_at)
