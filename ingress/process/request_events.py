"""Counted events of requests and attempts."""

from __future__ import annotations

from enum import StrEnum

from ingress.interface import Outcome


class RequestEvent(StrEnum):
    """What happened to a request, other than being served."""

    REFUSED_SHUTTING_DOWN = "request_refused.shutting_down"
    REFUSED_TOO_MANY_IN_FLIGHT = "request_refused.too_many_in_flight"
    REFUSED_BY_DECISION = "request_refused.decision"
    FAILED_BY_DECISION = "request_failed.decision"
    FAILED_AT_DEADLINE = "request_failed.deadline"
    FAILED_AT_SHUTDOWN = "request_failed.shutdown"
    FAILED_BY_FAULT = "request_failed.internal_fault"
    CLIENT_LEFT = "request_cancelled.client_left"
    REJECTED_OPEN_ID = "request_rejected.open_id"
    REJECTED_FORWARDED_ID = "request_rejected.forwarded_id"
    RETRIED = "attempt_sent.retry"


class AttemptEvent(StrEnum):
    """How an attempt ended; the members have the names of the outcomes."""

    OK = "attempt_ended.ok"
    ERROR = "attempt_ended.error"
    REJECTED = "attempt_ended.rejected"
    TIMEOUT = "attempt_ended.timeout"
    CONNECT_FAILED = "attempt_ended.connect_failed"
    RESET = "attempt_ended.reset"
    CANCELLED = "attempt_ended.cancelled"
    SUPERSEDED = "attempt_ended.superseded"


EVENT_BY_OUTCOME = {outcome: AttemptEvent[outcome.name] for outcome in Outcome}
