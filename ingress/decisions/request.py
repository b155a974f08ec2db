"""A request that the gateway has to answer: its deadline and the attempts sent for it."""

from __future__ import annotations

from dataclasses import dataclass, field

import ingress.interface as api
from ingress.decisions.backend import TrackedBackend
from ingress.decisions.customer import Customer
from ingress.decisions.quota_request import QuotaRequest


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """An attempt that was sent to a backend."""

    backend: TrackedBackend
    entry: api.Backend
    """The backend's entry in the endpoint list when the attempt was sent.

    Later entries, such as that of the removal, may describe another process or nothing.
    """
    sent_at: float
    """Time when the attempt was sent (s)."""


@dataclass(slots=True)
class AttemptHistory:
    """The attempts of a request."""

    sent_attempts: list[SentAttempt] = field(default_factory=list)
    """All attempts, in the order in which they were sent."""
    in_flight: dict[int, TrackedBackend] = field(default_factory=dict)
    """The backends of the attempts that have no outcome yet, by the attempt's number."""
    possibly_executed: list[SentAttempt] = field(default_factory=list)
    """The attempts in flight, and those whose outcome does not prove that they were not executed."""
    reached_backend: bool = False
    """Whether a backend may have received an attempt of the request."""


class PendingRequest(QuotaRequest):
    """A request from its arrival to its final answer."""

    def __init__(
        self, event: api.Request, request_class: api.RequestClass, customer: Customer, now: float
    ) -> None:
        super().__init__(event.id, event.units)
        self.request_class = request_class
        self.customer = customer
        self.plan = customer.plan
        self.is_client_retry = event.is_client_retry
        """Whether the client marked the request as a retry."""
        self.arrived_before_refill = self._arrives_before_refill(now)
        """Whether the slice has had too little time since the previous request to refill by `units`."""
        self.deadline = now + event.remaining_time
        """Time (s) at which the client stops waiting; infinite once a streamed answer has begun."""
        self.is_too_late = False
        """Whether the request can no longer be answered within its latency objective."""
        self.is_finished = False
        """Whether the request has its final answer, or its client has left."""
        self.is_sent = False
        """Whether the first attempt was sent."""
        self.attempts = AttemptHistory()

    def _arrives_before_refill(self, now: float) -> bool:
        slice_rate = self.customer.slice.rate
        return self.plan.rate > 0 and now - self.customer.last_seen_at < self.units / slice_rate

    def may_reject(self) -> bool:
        """Return whether the final answer may be "rejected", which guarantees that a retry is safe."""
        is_idempotent = self.request_class.idempotency is api.Idempotency.IDEMPOTENT
        return is_idempotent or not self.attempts.possibly_executed

    def may_send(self, backend: TrackedBackend, now: float, settings: api.Settings) -> bool:
        """Return whether `backend` may get one more attempt without the request taking effect twice."""
        attempts = self.attempts
        if len(attempts.sent_attempts) >= settings.max_attempts:
            return False
        if attempts.in_flight and not settings.hedging:
            return False
        idempotency = self.request_class.idempotency
        if idempotency is api.Idempotency.IDEMPOTENT or not attempts.possibly_executed:
            return True
        if idempotency is api.Idempotency.NOT_IDEMPOTENT:
            return False
        window = self.request_class.deduplication_window
        return all(
            now + settings.tick < earlier_attempt.sent_at + window
            and self._deduplicates(backend.entry, earlier_attempt.entry)
            for earlier_attempt in attempts.possibly_executed
        )

    def max_write_delay(self, now: float) -> float:
        """Return the seconds within which one more attempt has to be written; 0 means no limit.

        Backends deduplicate a request only for a limited time.  If the connection for a further attempt were
        established after that time, the backend would execute the request a second time.
        """
        window = self.request_class.deduplication_window
        if not window:
            return 0.0
        return min(
            (attempt.sent_at + window - now for attempt in self.attempts.possibly_executed), default=0.0
        )

    def _deduplicates(self, backend: api.Backend, earlier_backend: api.Backend) -> bool:
        """Return whether `backend` deduplicates a request that `earlier_backend` may have executed."""
        match self.request_class.deduplication_scope:
            case api.DeduplicationScope.ALL:
                return True
            case api.DeduplicationScope.ZONE:
                return backend.zone == earlier_backend.zone
            case api.DeduplicationScope.CELL:
                return backend.cell == earlier_backend.cell
