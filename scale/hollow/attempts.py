"""The attempts of one hollow ingress: timers simulate the backends, with the latency of the scenario."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable

import ingress.interface as api
from ingress.network.clock import Clock
from scale.experiment.world import WorkerState
from scale.hollow.requests import Attempt, OpenRequest, RequestTable


class SimulatedAttempts:
    """Simulates the attempts that the decision module sends, and feeds their outcomes to it."""

    def __init__(
        self,
        worker_state: WorkerState,
        requests: RequestTable,
        max_attempts: int,
        rng: random.Random,
        clock: Clock,
        feed: Callable[[api.Event], None],
    ) -> None:
        self._worker_state = worker_state
        self._requests = requests
        self._max_attempts = max_attempts
        self._rng = rng
        self._clock = clock
        self._feed = feed
        self._loop = asyncio.get_running_loop()

    def send(self, action: api.SendAttempt) -> None:
        """Start an attempt, and cancel the attempt of the same request that is in flight.

        If the request is not open or has used up its attempts, nothing is sent and the decision module is
        told that the attempt was superseded.
        """
        request = self._requests.get(action.id)
        if request is None or request.attempt_count >= self._max_attempts:
            self._feed_not_sent(action, request)
            return
        self._requests.record_decision(request)
        if request.current_attempt is not None:
            self._cancel_current(action.id, request)
        attempt = Attempt(request.attempt_count, action.backend, time.monotonic(), action.timeout)
        request.current_attempt = attempt
        request.attempt_count += 1
        self._worker_state.counts["sends"] += 1
        self._start_timer(action.id, request, attempt)

    def cancel(self, request_id: str, number: int) -> None:
        """Cancel an attempt if it is in flight."""
        request = self._requests.get(request_id)
        if (
            request is not None
            and request.current_attempt is not None
            and request.current_attempt.number == number
        ):
            self._cancel_current(request_id, request)

    def _feed_not_sent(self, action: api.SendAttempt, request: OpenRequest | None) -> None:
        number = 0 if request is None else request.attempt_count
        is_finished = request is None
        self._feed(
            api.AttemptEnded(action.id, number, action.backend, api.Outcome.SUPERSEDED, finished=is_finished)
        )

    def _start_timer(self, request_id: str, request: OpenRequest, attempt: Attempt) -> None:
        """Draw the latency of an attempt, and start the timer that ends it."""
        if self._worker_state.is_unreachable(attempt.backend):
            self._end_after(0.0, request_id, attempt, api.Outcome.CONNECT_FAILED)
            return
        self._worker_state.count_cold_units(attempt.backend, request.units, self._clock())
        model = self._worker_state.scenario.backend
        latency = self._rng.lognormvariate(math.log(model.latency_ms / 1000), model.latency_sigma)
        if self._worker_state.is_silent(attempt.backend) or latency > attempt.timeout_s:
            self._end_after(attempt.timeout_s, request_id, attempt, api.Outcome.TIMEOUT)
        else:
            attempt.timer = self._loop.call_later(latency, self._handle_due_reply, request_id, attempt)

    def _end_after(self, delay_s: float, request_id: str, attempt: Attempt, outcome: api.Outcome) -> None:
        attempt.timer = self._loop.call_later(delay_s, self._end, request_id, attempt, outcome)

    def _handle_due_reply(self, request_id: str, attempt: Attempt) -> None:
        """End an attempt whose reply is due, or let it time out if its backend is silent by now."""
        if self._worker_state.is_silent(attempt.backend):
            remaining_s = attempt.sent_at + attempt.timeout_s - time.monotonic()
            self._end_after(max(0.0, remaining_s), request_id, attempt, api.Outcome.TIMEOUT)
        else:
            self._end(request_id, attempt, api.Outcome.OK)

    def _end(self, request_id: str, attempt: Attempt, outcome: api.Outcome) -> None:
        request = self._requests.get(request_id)
        if request is None or request.current_attempt is not attempt:
            return
        request.current_attempt = None
        self._feed_outcome(request_id, attempt, outcome)

    def _cancel_current(self, request_id: str, request: OpenRequest) -> None:
        attempt = request.current_attempt
        request.current_attempt = None
        if attempt is None:
            return
        attempt.cancel_timer()
        self._feed_outcome(request_id, attempt, api.Outcome.CANCELLED)

    def _feed_outcome(self, request_id: str, attempt: Attempt, outcome: api.Outcome) -> None:
        latency = time.monotonic() - attempt.sent_at
        is_served = outcome is api.Outcome.OK
        load_report = {"inflight": 1.0} if is_served else {}
        self._feed(
            api.AttemptEnded(
                request_id,
                attempt.number,
                attempt.backend,
                outcome,
                latency,
                is_served,
                load_report=load_report,
            )
        )
