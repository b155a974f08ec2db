"""The handling of the outcomes of attempts: recording them, and retrying or finishing the request."""

import ingress.interface as api
from ingress.decisions.answer_times import AnswerTimes
from ingress.decisions.attempts import AttemptTracker, InFlightAttempt
from ingress.decisions.balancer import LoadBalancer
from ingress.decisions.final_answers import FinalAnswers
from ingress.decisions.request import PendingRequest
from ingress.decisions.retry_policy import RetryPolicy
from ingress.decisions.usage_counter import UsageCounter

# Outcomes of attempts that no backend received.
NOT_RECEIVED_OUTCOMES = (api.Outcome.SUPERSEDED, api.Outcome.CONNECT_FAILED)
# Outcomes of attempts that were cancelled or not sent, which say nothing about the backend.
WITHDRAWN_OUTCOMES = (api.Outcome.CANCELLED, api.Outcome.SUPERSEDED)


class OutcomeRecorder:
    """Updates backends, mean answer times and the units of requests from the outcomes of attempts."""

    def __init__(self, balancer: LoadBalancer, answer_times: AnswerTimes, counter: UsageCounter) -> None:
        self.balancer = balancer
        self.answer_times = answer_times
        self.counter = counter

    def record_outcome(self, now: float, event: api.AttemptEnded, attempt: InFlightAttempt) -> None:
        """Record the outcome of `attempt`; ignore an attempt that was withdrawn."""
        if event.outcome is api.Outcome.OK:
            self._record_answer(now, event, attempt)
            self._settle_units(event, attempt.request)
        elif event.outcome not in WITHDRAWN_OUTCOMES:
            self._record_failure(now, event, attempt)

    def _record_answer(self, now: float, event: api.AttemptEnded, attempt: InFlightAttempt) -> None:
        request_class = attempt.request.request_class
        backend = attempt.sent_attempt.backend
        mean_answer_time = self.answer_times.get_mean(request_class)  # does not include this answer yet
        backend.clear_failures()
        backend.record_answer(now, event.latency, mean_answer_time, request_class.latency_objective)
        self.answer_times.record_answer(request_class, event.latency)
        self.balancer.record_answer(now)

    def _settle_units(self, event: api.AttemptEnded, request: PendingRequest) -> None:
        if event.settled_units and request.accounting.is_inside_quota:
            request.customer.settle_units(event.settled_units - request.units)
            self.counter.mark_unreported(request.customer)

    def _record_failure(self, now: float, event: api.AttemptEnded, attempt: InFlightAttempt) -> None:
        backend = attempt.sent_attempt.backend
        # A timeout also counts as a slow answer, unless the backend has answered another attempt since
        # this one was sent.
        if event.outcome is api.Outcome.TIMEOUT and backend.last_answer_at <= attempt.sent_attempt.sent_at:
            request_class = attempt.request.request_class
            objective = request_class.latency_objective
            mean_answer_time = self.answer_times.get_mean(request_class)
            backend.record_answer(now, max(event.latency, objective), mean_answer_time, objective)
            backend.mark_suspect()
        backend.record_failure(now, event.outcome, self.balancer.longest_objective)


class AttemptOutcomeHandler:
    """Handles the end of attempts: records the outcome, then retries or finishes the request."""

    def __init__(
        self,
        requests: dict[str, PendingRequest],
        attempt_tracker: AttemptTracker,
        outcome_recorder: OutcomeRecorder,
        retry_policy: RetryPolicy,
        counter: UsageCounter,
        final_answers: FinalAnswers,
    ) -> None:
        self.requests = requests
        self.attempt_tracker = attempt_tracker
        self.outcome_recorder = outcome_recorder
        self.retry_policy = retry_policy
        self.counter = counter
        self.final_answers = final_answers

    def handle_attempt_end(self, now: float, event: api.AttemptEnded) -> None:
        """Handle the end of an attempt; ignore an attempt that is not known."""
        attempt = self.attempt_tracker.end_attempt(now, event)
        if attempt is None:
            return
        request = attempt.request
        self.outcome_recorder.record_outcome(now, event, attempt)
        if event.outcome not in NOT_RECEIVED_OUTCOMES:
            request.attempts.reached_backend = True
        if event.finished or request.is_finished:
            request.is_finished = True
            self.requests.pop(event.id, None)
        elif not request.attempts.in_flight:
            self._retry_or_finish(now, request, event.outcome.proves_not_executed)
        if request.is_finished and event.outcome is api.Outcome.SUPERSEDED:
            self._refund_unless_received(request)

    def _retry_or_finish(self, now: float, request: PendingRequest, proves_not_executed: bool) -> None:
        may_retry = self.retry_policy.may_retry(now, request, proves_not_executed)
        if may_retry and self.attempt_tracker.send_attempt(now, request):
            self.retry_policy.record_retry(proves_not_executed)
        else:
            self.final_answers.finish_request(request)

    def _refund_unless_received(self, request: PendingRequest) -> None:
        """Refund the units of a request that no backend received because its client left early."""
        if not request.attempts.reached_backend:
            request.customer.refund_request(request)
            self.counter.mark_unreported(request.customer)
