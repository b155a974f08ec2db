"""The sending of attempts, and the attempts in flight."""

from dataclasses import dataclass

import ingress.interface as api
from ingress.decisions.action_sink import ActionSink
from ingress.decisions.attempt_key import AttemptKey
from ingress.decisions.backend import TrackedBackend
from ingress.decisions.balancer import LoadBalancer
from ingress.decisions.overload import OverloadDetector
from ingress.decisions.request import PendingRequest, SentAttempt
from ingress.decisions.retry_policy import RetryPolicy
from ingress.decisions.usage_counter import UsageCounter

MIN_TIMEOUT_S = 1e-6  # above 0, because 0 means that an attempt may last until the client's deadline


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt that has no outcome yet."""

    request: PendingRequest
    sent_attempt: SentAttempt
    """The backend of the attempt, and the time when it was sent."""


class AttemptTracker:
    """Sends attempts and tracks those in flight."""

    def __init__(
        self,
        balancer: LoadBalancer,
        overload_detector: OverloadDetector,
        retry_policy: RetryPolicy,
        counter: UsageCounter,
        sink: ActionSink,
    ) -> None:
        self.balancer = balancer
        self.overload_detector = overload_detector
        self.retry_policy = retry_policy
        self.counter = counter
        self.sink = sink
        self.in_flight: dict[AttemptKey, InFlightAttempt] = {}

    def send_attempt(self, now: float, request: PendingRequest, is_exploratory: bool = False) -> bool:
        """Send one more attempt of `request`; return False if no backend may receive the attempt.

        With `is_exploratory` the attempt goes to a backend outside of the subset, to find out whether an
        overload is limited to the subset.
        """
        backend = self.balancer.choose_backend(request, now, is_exploratory)
        if backend is None:
            return False
        if not request.is_sent:
            self._charge_first_attempt(now, request)
        max_write_delay = request.max_write_delay(now)
        key = self._record_sent_attempt(now, request, backend)
        if is_exploratory:
            self.overload_detector.exploratory_attempt = key
        timeout = max(self.retry_policy.attempt_timeout(now, request), MIN_TIMEOUT_S)
        self.sink.emit(api.SendAttempt(request.id, backend.entry.id, timeout, max_write_delay))
        return True

    def _charge_first_attempt(self, now: float, request: PendingRequest) -> None:
        request.is_sent = True
        self.retry_policy.record_first_attempt()
        accounting = request.accounting
        if request.plan.ceiling_rate:
            accounting.charges += request.customer.ceiling.charge_units(request.units)
        if accounting.is_inside_quota:
            self.counter.mark_unreported(request.customer)
            is_reported = accounting.counted_units > 0 or accounting.is_covered_by_samples
            request.customer.charge_request(now, request, is_reported)
            accounting.counted_units = 0.0

    def _record_sent_attempt(
        self, now: float, request: PendingRequest, backend: TrackedBackend
    ) -> AttemptKey:
        attempt_number = len(request.attempts.sent_attempts)
        key = request.id, attempt_number
        sent_attempt = SentAttempt(backend, backend.entry, now)
        request.attempts.sent_attempts.append(sent_attempt)
        request.attempts.possibly_executed.append(sent_attempt)
        request.attempts.in_flight[attempt_number] = backend
        request.customer.attempts_in_flight += 1
        self.in_flight[key] = InFlightAttempt(request, sent_attempt)
        self.balancer.add_attempt(backend, key, now)
        self.overload_detector.record_attempt_start(now, key, request.request_class)
        return key

    def end_attempt(self, now: float, event: api.AttemptEnded) -> InFlightAttempt | None:
        """Remove an attempt that has ended and return it; return None if it is not known."""
        key = event.id, event.attempt
        attempt = self.in_flight.pop(key, None)
        if attempt is None:
            return None
        request = attempt.request
        request.customer.attempts_in_flight -= 1
        self.balancer.remove_attempt(attempt.sent_attempt.backend, key)
        request.attempts.in_flight.pop(event.attempt, None)
        self.overload_detector.record_attempt_end(now, key)
        if event.outcome.proves_not_executed:
            request.attempts.possibly_executed.remove(attempt.sent_attempt)
        return attempt
