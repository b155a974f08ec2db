"""Requests of the clients: their commands, their answers and their outcomes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, fields

import hiredis

from scale.standins.backends import parse_reply_value
from scale.standins.histograms import TimeHistogram
from scale.standins.resp import encode_array
from scale.standins.traffic import DrawnRequest


@dataclass(slots=True)
class PendingRequest:
    """A request that waits for its answer; times are on the monotonic clock."""

    id: bytes
    command: bytes
    sent_at: float
    deadline: float
    is_resent: bool = False
    """Whether it was sent a second time because its first connection was closed."""
    is_finished: bool = False
    """Whether its outcome has been counted."""
    timer: asyncio.TimerHandle | None = None
    """Counts the request as lost when it expires."""


@dataclass(slots=True)
class ClientCounts:
    """The numbers of requests by outcome."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    late: int = 0
    """Requests answered after their deadline; they are counted under their outcome too."""
    lost: int = 0
    """Requests that were never answered."""
    duplicated: int = 0
    """Answers that came while no request was in flight on their connection."""
    wrong: int = 0
    """Answers that belong to another request or are malformed."""
    unreachable: int = 0
    """Requests that could not be sent: their connection was refused or ended before they were written."""
    cut: int = 0
    """Requests without an answer because the process of the ingress was killed."""

    def add(self, other: ClientCounts) -> None:
        """Add the counts of other clients."""
        for count in fields(self):
            setattr(self, count.name, getattr(self, count.name) + getattr(other, count.name))


@dataclass(slots=True)
class ClientMeasures:
    """The counts and the latencies of all clients of one ingress."""

    counts: ClientCounts = field(default_factory=ClientCounts)
    latencies: TimeHistogram = field(default_factory=TimeHistogram)
    """Latencies of served requests."""
    added_latencies: TimeHistogram = field(default_factory=TimeHistogram)
    """Latencies of served requests without the service time of the backend."""

    def record_answer(self, request: PendingRequest, answer: object, now: float) -> None:
        """Count the final answer to a request, and record its latency if a backend served it."""
        self.counts.late += now > request.deadline
        if isinstance(answer, list) and answer:
            answer = answer[0]
        if isinstance(answer, hiredis.ReplyError):
            self._record_error(answer)
        else:
            self._record_value(request, answer, now - request.sent_at)

    def _record_error(self, answer: hiredis.ReplyError) -> None:
        if str(answer).startswith("BUSY"):
            self.counts.refused += 1
        else:
            self.counts.failed += 1

    def _record_value(self, request: PendingRequest, answer: object, latency: float) -> None:
        try:
            request_id, service_time = parse_reply_value(answer if isinstance(answer, bytes) else b"")
        except ValueError:
            request_id, service_time = b"", 0.0
        if request_id != request.id:
            self.counts.wrong += 1
            return
        self.counts.served += 1
        self.latencies.record(latency)
        self.added_latencies.record(max(0.0, latency - service_time))


def encode_command(drawn_request: DrawnRequest, request_id: bytes, idempotency_key: bytes) -> bytes:
    """Return the RESP2 command of a request; the idempotency key is sent only if its class uses one."""
    request_class = drawn_request.request_class
    verb = b"API.READ" if request_class.semantics == "safe" else b"API.WRITE"
    fields_text = (
        f"c={request_class.name},t={drawn_request.plan.name},d={round(request_class.deadline_s * 1000)}"
    )
    if request_class.semantics == "keyed":
        fields_text += f",k={idempotency_key.decode()}"
    fields_text += (
        f",units={drawn_request.units},spread={drawn_request.plan.spread},first={drawn_request.first_ingress}"
    )
    arguments = [verb, drawn_request.tenant_key.encode(), request_id, fields_text.encode()]
    if verb == b"API.WRITE":
        arguments.append(b"body")
    return encode_array(*arguments)
