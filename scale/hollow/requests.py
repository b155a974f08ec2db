"""The open requests of one hollow ingress; each must get exactly one final answer."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from scale.experiment.world import WorkerState


@dataclass(slots=True)
class Attempt:
    """An attempt in flight."""

    number: int
    """The number of the attempt in its request, from 0."""
    backend: str
    """The id of the backend."""
    sent_at: float
    """When it was sent, on the monotonic clock."""
    timeout_s: float
    """How long it may take, in seconds."""
    timer: asyncio.TimerHandle | None = None
    """Ends the attempt."""

    def cancel_timer(self) -> None:
        """Cancel the timer that ends the attempt."""
        if self.timer is not None:
            self.timer.cancel()


@dataclass(slots=True)
class OpenRequest:
    """A request without a final answer."""

    arrived_at: float
    """When it arrived, on the monotonic clock."""
    units: float
    current_attempt: Attempt | None = None
    """The attempt in flight."""
    attempt_count: int = 0
    """Attempts sent so far."""
    cpu_s: float = 0.0
    """CPU time that the decision module has used for it, in seconds."""
    is_decided: bool = False
    """Whether its first attempt was sent or its final answer was given."""


class RequestTable:
    """The open requests, and the ids of recently answered ones, to detect second final answers."""

    def __init__(self, worker_state: WorkerState) -> None:
        self.arriving_request: OpenRequest | None = None  # whose arrival the module is handling now
        self._worker_state = worker_state
        self._request_count = 0  # requests added so far
        self._open_requests: dict[str, OpenRequest] = {}  # by id
        self._answered_ids: set[str] = set()  # requests for which a second final answer is detected
        self._drained = asyncio.Event()
        self._drained.set()

    def add(self, units: float) -> str:
        """Add a request that has just arrived, and return its id."""
        self._request_count += 1
        request_id = str(self._request_count)
        self._open_requests[request_id] = OpenRequest(time.monotonic(), units)
        self._drained.clear()
        self._worker_state.counts["requests"] += 1
        return request_id

    def get(self, request_id: str) -> OpenRequest | None:
        """Return the open request with an id, or None."""
        return self._open_requests.get(request_id)

    def record_decision(self, request: OpenRequest) -> None:
        """Record that a request has its first attempt or its final answer.

        A request that gets neither while the decision module handles its arrival has waited for the counter.
        """
        if request.is_decided:
            return
        request.is_decided = True
        if request is not self.arriving_request:
            self._worker_state.counts["waited"] += 1
            self._worker_state.counter_wait.record(time.monotonic() - request.arrived_at)

    def finish(self, request_id: str, outcome: str) -> None:
        """Count the final answer to a request under an outcome; a second one is counted as a duplicate."""
        request = self._open_requests.pop(request_id, None)
        if request is None:
            if request_id in self._answered_ids:
                self._worker_state.counts["duplicated"] += 1
            return
        self.record_decision(request)
        self._answered_ids.add(request_id)
        self._worker_state.counts[outcome] += 1
        self._worker_state.request_cpu.record(request.cpu_s)
        if request.current_attempt is not None:
            request.current_attempt.cancel_timer()
        self._signal_if_drained()

    def forget_answered(self, request_id: str) -> None:
        """Stop detecting second final answers to a request."""
        self._answered_ids.discard(request_id)

    def close_all(self, outcome: str) -> None:
        """Close all open requests without an answer, and count them under an outcome."""
        self._worker_state.counts[outcome] += len(self._open_requests)
        for request in self._open_requests.values():
            if request.current_attempt is not None:
                request.current_attempt.cancel_timer()
        self._open_requests.clear()
        self._signal_if_drained()

    async def wait_until_drained(self) -> None:
        """Wait until no request is open."""
        await self._drained.wait()

    def _signal_if_drained(self) -> None:
        if not self._open_requests:
            self._drained.set()
