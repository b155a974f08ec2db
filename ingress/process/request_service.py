"""Client requests, from their acceptance to exactly one final answer each."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from math import ceil

import ingress.interface as api
from ingress.downstream.commands import Command, CommandError
from ingress.downstream.request_handler import PendingReply
from ingress.network.clock import Clock
from ingress.network.event_counts import EventCounts
from ingress.network.rate_limited_log import RateLimitedLog
from ingress.process.deadlines import decision_time
from ingress.process.forwarded_ids import ForwardedRequestIds
from ingress.process.in_flight import InFlightRequest, InFlightRequests
from ingress.process.open_ids import OpenRequestIds
from ingress.process.request_events import RequestEvent
from ingress.upstream.attempt import Attempt

log = logging.getLogger(__name__)

FINAL_ANSWER_MARGIN_S = 0.005  # time before the client's deadline at which a final answer is enforced
FAILED_REPLY = b"-ERR failed\r\n"
BUSY_REPLY = b"-BUSY\r\n"
MAX_LOGGED_REFUSALS = 50  # refusals that are logged one by one; of the later ones only a sample is


class RequestService:
    """Accepts requests from client connections and gives each one final answer by its deadline."""

    def __init__(
        self,
        requests: InFlightRequests,
        clock: Clock,
        feed: Callable[[api.Event], None],
        cancel_if_unsent: Callable[[Attempt], None],
        counts: EventCounts,
    ) -> None:
        """Create a service without requests.

        `feed` hands an event to the decision module; `cancel_if_unsent` ends an attempt of an answered
        request unless the attempt has been fully written.
        """
        self.requests = requests
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.feed = feed
        self.cancel_if_unsent = cancel_if_unsent
        self.counts = counts
        self.open_ids = OpenRequestIds()
        self.forwarded_ids = ForwardedRequestIds()
        self.refusal_log = RateLimitedLog(log, MAX_LOGGED_REFUSALS)
        self.is_refusing_requests = False  # True at the end of the shutdown: no backend could answer in time

    def handle_request(self, reply: PendingReply, command: Command, received_at: float) -> None:
        """Pass a request on to the decision module, or answer BUSY.

        The answer is BUSY while new requests are refused and while the requests in flight reach a limit.
        `received_at` is the time on the clock at which the command arrived.  Raise CommandError if the id
        belongs to a request whose answer is not written yet, or that may have run for another client.
        """
        self._open_id(command.client_request_id, reply)
        if self.is_refusing_requests:
            self._refuse(reply, command, RequestEvent.REFUSED_SHUTTING_DOWN)
            return
        if self.requests.is_full:
            self._refuse(reply, command, RequestEvent.REFUSED_TOO_MANY_IN_FLIGHT)
            return
        request = self.requests.add(reply, command, received_at + command.wait_s)
        time_left = request.deadline - self.clock()
        request.deadline_timer = self.loop.call_later(
            max(0.0, time_left - FINAL_ANSWER_MARGIN_S), self._enforce_deadline, request
        )
        self.feed(_create_request_event(request.key, command))

    def reserve_id(self, client_request_id: bytes, connection_number: int) -> bool:
        """Reserve the id of a request that waits to be executed on the connection; return whether it is free.

        Other connections cannot use the id until it is released, or the request is executed and answered.
        """
        return self.open_ids.reserve(client_request_id, connection_number)

    def release_id(self, client_request_id: bytes, connection_number: int) -> None:
        """Release an id that was reserved for the connection, as its request is executed now or never."""
        self.open_ids.release(client_request_id, connection_number)

    def on_client_disconnected(self, reply: PendingReply) -> None:
        """Cancel the request of the reply if it is in flight and unanswered."""
        request = self.requests.get(reply.request_key)
        if request is not None and not request.is_answered:
            self.counts.add(RequestEvent.CLIENT_LEFT)
            self._mark_answered(request)
            self.feed(api.RequestCancelled(request.key))

    def answer(self, request: InFlightRequest, data: bytes) -> None:
        """Give an unanswered request its final answer, encoded in RESP."""
        self._mark_answered(request)
        request.reply.answer(data)

    def reject(self, key: str, retry_after: float) -> None:
        """Give a request the final answer "rejected"; `retry_after` is in seconds, or 0 to send none."""
        self.counts.add(RequestEvent.REFUSED_BY_DECISION)
        if retry_after > 0:
            self._give_final_answer(key, b"-BUSY %d\r\n" % ceil(retry_after * 1000))
        else:
            self._give_final_answer(key, BUSY_REPLY)

    def fail(self, key: str) -> None:
        """Give a request the final answer "failed"."""
        self.counts.add(RequestEvent.FAILED_BY_DECISION)
        self._give_final_answer(key, FAILED_REPLY)

    def fail_and_cancel(self, request: InFlightRequest, reason: RequestEvent) -> None:
        """Fail an unanswered request and report it to the decision module as cancelled."""
        if not request.is_answered:
            self.counts.add(reason)
            self.answer(request, FAILED_REPLY)
            self.feed(api.RequestCancelled(request.key))

    def fail_all_and_refuse_new(self) -> None:
        """Fail the requests in flight and refuse all new ones from now on."""
        self.is_refusing_requests = True
        for request in list(self.requests):
            self.fail_and_cancel(request, RequestEvent.FAILED_AT_SHUTDOWN)

    def _enforce_deadline(self, request: InFlightRequest) -> None:
        """Fail a request if neither a backend nor the decision module has answered it in time."""
        if not request.is_answered:
            log.warning(
                "request deadline enforced id=%s client_request_id=%s attempts=%d",
                request.key,
                request.command.client_request_id.decode(),
                request.requested_attempt_count,
            )
            self.fail_and_cancel(request, RequestEvent.FAILED_AT_DEADLINE)

    def _open_id(self, client_request_id: bytes, reply: PendingReply) -> None:
        """Reserve the id until the reply is written; raise CommandError if another request has it."""
        if client_request_id in self.open_ids:
            self.counts.add(RequestEvent.REJECTED_OPEN_ID)
            raise CommandError("the id belongs to an open request")
        connection_number = reply.writer.connection_number
        if self.forwarded_ids.belongs_to_other(client_request_id, connection_number, self.clock()):
            self.counts.add(RequestEvent.REJECTED_FORWARDED_ID)
            raise CommandError("the id belongs to a request that may have run")
        self.open_ids.open(client_request_id)
        reply.on_closed = partial(self.open_ids.close, client_request_id)

    def _refuse(self, reply: PendingReply, command: Command, reason: RequestEvent) -> None:
        """Answer a request BUSY that the decision module never sees."""
        self.counts.add(reason)
        client_request_id = command.client_request_id.decode()
        self.refusal_log.warning("request refused reason=%s client_request_id=%s", reason, client_request_id)
        reply.answer(BUSY_REPLY)

    def _give_final_answer(self, key: str, data: bytes) -> None:
        """Remove a request that the decision module has finished, and answer it unless it has an answer."""
        request = self.requests.get(key)
        if request is not None:
            if not request.is_answered:
                self.answer(request, data)
            self.requests.remove(key)

    def _mark_answered(self, request: InFlightRequest) -> None:
        """Mark a request as answered, and cancel its timer and unsent attempt."""
        request.is_answered = True
        if request.requested_attempt_count:
            client_request_id = request.command.client_request_id
            connection_number = request.reply.writer.connection_number
            self.forwarded_ids.add(client_request_id, connection_number, self.clock())
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        if request.attempt is not None:
            self.cancel_if_unsent(request.attempt)


def _create_request_event(key: str, command: Command) -> api.Request:
    return api.Request(
        key,
        command.request_class,
        command.plan,
        command.customer,
        decision_time(command.wait_s),
        command.units,
        command.assigned_instances,
        command.first_instance,
        command.is_client_retry,
        command.is_write,
    )
