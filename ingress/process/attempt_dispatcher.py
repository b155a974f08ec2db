"""Sending of attempts over the connection pool, and reporting of their outcomes."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

import ingress.interface as api
from ingress.downstream.commands import encode_bulk_string
from ingress.network.clock import Clock
from ingress.network.event_counts import EventCounts
from ingress.process.configuration import Config
from ingress.process.in_flight import InFlightRequest, InFlightRequests
from ingress.process.request_events import EVENT_BY_OUTCOME, RequestEvent
from ingress.process.request_service import FINAL_ANSWER_MARGIN_S
from ingress.upstream.attempt import Attempt
from ingress.upstream.pool import ConnectionPool


class AttemptDispatcher:
    """Owns the connection pool and the attempts in flight on it, at most one per request."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        requests: InFlightRequests,
        answer_request: Callable[[InFlightRequest, bytes], None],
        feed: Callable[[api.Event], None],
        counts: EventCounts,
    ) -> None:
        """Create the connection pool, without endpoints.

        `answer_request` gives a request its final answer; `feed` hands an event to the decision module.
        """
        self.clock = clock
        self.max_attempts = config.settings.max_attempts
        self.requests = requests
        self.answer_request = answer_request
        self.feed = feed
        self.counts = counts
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by request key and attempt number
        self.pool = ConnectionPool(
            config.backend_sockets,
            config.max_buffered_bytes,
            config.connect_timeout_s,
            config.backend_idle_timeout_s,
            self.clock,
            self.on_attempt_ended,
        )

    def send(self, action: api.SendAttempt) -> None:
        """Send an attempt, or report it as superseded if its request is answered or has no attempts left."""
        request = self.requests.get(action.id)
        now = self.clock()
        attempt_number = 0
        if request is not None:
            attempt_number = request.requested_attempt_count
            request.requested_attempt_count += 1
        if request is None or request.is_answered or attempt_number >= self.max_attempts:
            is_finished = request is None or request.is_answered
            self.feed(
                api.AttemptEnded(
                    action.id, attempt_number, action.backend, api.Outcome.SUPERSEDED, finished=is_finished
                )
            )
            return
        if request.attempt is not None:
            self.pool.cancel_attempt(request.attempt)  # a request has at most one attempt in flight
        if attempt_number:
            self.counts.add(RequestEvent.RETRIED)
        attempt = _create_attempt(request, attempt_number, action, now)
        request.attempt = attempt
        self.in_flight[request.key, attempt_number] = attempt
        self.pool.start_attempt(attempt)

    def cancel(self, key: str, attempt_number: int) -> None:
        """Cancel an attempt if it is in flight."""
        attempt = self.in_flight.get((key, attempt_number))
        if attempt is not None:
            self.pool.cancel_attempt(attempt)

    def on_attempt_ended(
        self, attempt: Attempt, outcome: api.Outcome, value: bytes | None, load_report: dict[str, float]
    ) -> None:
        """Answer the request if the backend sent a value, and report the outcome to the decision module."""
        self.counts.add(EVENT_BY_OUTCOME[outcome])
        request = self.requests.get(attempt.request_key)
        self.in_flight.pop((attempt.request_key, attempt.number), None)
        if request is not None:
            if request.attempt is attempt:
                request.attempt = None
            if value is not None and not request.is_answered:
                self.answer_request(request, encode_bulk_string(value))
        self.feed(
            api.AttemptEnded(
                attempt.request_key,
                attempt.number,
                attempt.backend_id,
                outcome,
                self.clock() - attempt.sent_at,
                request is None or request.is_answered,
                load_report=load_report,
            )
        )


def _create_attempt(
    request: InFlightRequest, attempt_number: int, action: api.SendAttempt, now: float
) -> Attempt:
    final_deadline = request.deadline - FINAL_ANSWER_MARGIN_S
    return Attempt(
        request.key,
        attempt_number,
        action.backend,
        now,
        min(final_deadline, now + action.timeout) if action.timeout else final_deadline,
        request.command.encode_parts(),
        now + action.max_write_delay if action.max_write_delay else inf,
        request.reply.writer.check_client_present,
    )
