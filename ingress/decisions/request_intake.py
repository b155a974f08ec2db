"""The intake of requests: finding the customer, and asking the shared counter first where needed."""

import ingress.interface as api
from ingress.decisions.admission import Admission
from ingress.decisions.answer_times import AnswerTimes
from ingress.decisions.final_answers import FinalAnswers
from ingress.decisions.process_start import ProcessStart
from ingress.decisions.request import PendingRequest
from ingress.decisions.request_decision import RequestDecision
from ingress.decisions.usage_counter import UsageCounter


class RequestIntake:
    """Receives requests, and the later events that come from their clients or streams."""

    def __init__(
        self,
        settings: api.Settings,
        requests: dict[str, PendingRequest],
        admission: Admission,
        counter: UsageCounter,
        answer_times: AnswerTimes,
        request_decision: RequestDecision,
        final_answers: FinalAnswers,
        process_start: ProcessStart,
    ) -> None:
        self.settings = settings
        self.requests = requests
        self.admission = admission
        self.counter = counter
        self.answer_times = answer_times
        self.request_decision = request_decision
        self.final_answers = final_answers
        self.process_start = process_start
        self.classes_by_name = {request_class.name: request_class for request_class in settings.classes}
        self.plans_by_name = {plan.name: plan for plan in settings.plans}
        self.first_try_remaining_times: dict[str, float] = {}
        """Remaining time (s) of the latest request that was not marked as a retry, by request class."""

    def receive_request(self, now: float, event: api.Request) -> None:
        """Receive a request and decide on it, immediately or after a reply of the shared counter."""
        request = self._create_pending_request(now, event)
        if request is None:
            self.final_answers.reject_new_customer(event)
        elif request.is_too_late and not request.request_class.late_weight_share:
            self.final_answers.finish_request(request)
        elif self._must_await_counter(now, request):
            request.customer.requests_awaiting_counter.append(request)
        else:
            self.request_decision.decide(now, request)

    def _create_pending_request(self, now: float, event: api.Request) -> PendingRequest | None:
        """Register a request; return None if there is no room for the state of its customer."""
        plan = self.plans_by_name[event.plan]
        request_class = self.classes_by_name[event.request_class]
        customer = self.admission.get_or_create_customer(now, event, plan, self.process_start.age(now))
        if customer is None:
            return None
        request = PendingRequest(event, request_class, customer, now)
        self.requests[event.id] = request
        customer.last_seen_at = now  # set last, as `PendingRequest` reads the time of the previous request
        request.is_too_late = self._is_too_late(event, request_class)
        return request

    def _is_too_late(self, event: api.Request, request_class: api.RequestClass) -> bool:
        """Return whether a client's retry cannot be answered within the latency objective of its first try.

        The remaining time shows when the first try began, unless the client restarts its deadline for each
        try.  A retry with as much time left as the latest first try indicates such a restart.
        """
        if not event.is_client_retry:
            self.first_try_remaining_times[request_class.name] = event.remaining_time
            return False
        first_try_remaining_time = self.first_try_remaining_times.get(request_class.name, 0.0)
        deadline_restarts = abs(event.remaining_time - first_try_remaining_time) <= self.settings.tick
        elapsed = request_class.deadline - event.remaining_time
        expected_latency = elapsed + self.answer_times.get_mean(request_class)
        return not deadline_restarts and expected_latency > request_class.latency_objective

    def _must_await_counter(self, now: float, request: PendingRequest) -> bool:
        """Return whether the request has to wait for a reply of the counter; call the counter if needed."""
        if not request.plan.rate or not self.admission.needs_counter(now, request):
            return False
        is_ceiling_slice_short = self.admission.is_ceiling_slice_short(now, request)
        return self.counter.request_total(now, request.customer, request, is_ceiling_slice_short)

    def cancel_request(self, _now: float, event: api.RequestCancelled) -> None:
        """Drop a request whose client has left or has its answer."""
        request = self.requests.pop(event.id, None)
        if request is not None:
            request.is_finished = True

    def record_stream_start(self, _now: float, event: api.StreamStarted) -> None:
        """Remove the deadline of a request whose streamed answer has begun."""
        request = self.requests.get(event.id)
        if request is not None:
            request.deadline = float("inf")
