"""The decision whether a request is sent to a backend or finished without one."""

from typing import cast

import ingress.interface as api
from ingress.decisions.admission import Admission
from ingress.decisions.attempts import AttemptTracker
from ingress.decisions.final_answers import FinalAnswers
from ingress.decisions.overload import OverloadDetector
from ingress.decisions.process_start import ProcessStart
from ingress.decisions.request import PendingRequest
from ingress.decisions.request_ranking import RequestRanking
from ingress.decisions.usage_counter import UsageCounter

# Shed share below which there is spare capacity for requests beyond their quota.
MAX_OVER_QUOTA_SHED_SHARE = -0.1


class RequestDecision:
    """Decides on requests by the limits of their customers and by the load of the backends."""

    def __init__(
        self,
        admission: Admission,
        counter: UsageCounter,
        overload_detector: OverloadDetector,
        request_ranking: RequestRanking,
        attempt_tracker: AttemptTracker,
        final_answers: FinalAnswers,
        process_start: ProcessStart,
    ) -> None:
        self.admission = admission
        self.counter = counter
        self.overload_detector = overload_detector
        self.request_ranking = request_ranking
        self.attempt_tracker = attempt_tracker
        self.final_answers = final_answers
        self.process_start = process_start

    def decide(self, now: float, request: PendingRequest) -> None:
        """Send the request to a backend, or give its final answer.

        A request inside its quota is sent unless it is shed because of an overload.  A request beyond its
        quota is sent if its plan makes it worthwhile and there is spare capacity.
        """
        if request.is_finished:  # its client left while it awaited the counter's reply
            self.counter.withdraw_units(request)
            return
        request.accounting.is_inside_quota = self.admission.is_inside_quota(now, request)
        shed_share = self.overload_detector.shed_share(now)
        is_within_limits = self._is_within_limits(now, request, shed_share)
        is_shed = shed_share > self.request_ranking.rank_request(request)
        # The overload may be limited to the subset, so one request at a time is sent outside of it instead of
        # being shed.
        is_exploratory = is_shed and self.overload_detector.exploratory_attempt is None
        is_admitted = is_within_limits and (not is_shed or is_exploratory)
        if not is_admitted or not self.attempt_tracker.send_attempt(now, request, is_exploratory):
            self.final_answers.finish_request(request)

    def _is_within_limits(self, now: float, request: PendingRequest, shed_share: float) -> bool:
        plan = request.plan
        is_under_ceiling = not plan.ceiling_rate or request.customer.is_under_ceiling(now, request.units)
        is_over_quota_worthwhile = (
            plan.over_quota_weight_share > plan.over_quota_cost_share
            and shed_share < MAX_OVER_QUOTA_SHED_SHARE
        )
        return (request.accounting.is_inside_quota or is_over_quota_worthwhile) and is_under_ceiling

    def handle_counter_reply(self, now: float, event: api.CounterReply) -> None:
        """Process a reply of the shared counter and decide on the requests that waited for it."""
        customer = self.counter.handle_reply(now, event, self.process_start.started_at)
        if customer is None:
            return
        waiting_requests = customer.requests_awaiting_counter
        customer.requests_awaiting_counter = []
        for request in waiting_requests:
            # The list holds only `PendingRequest`s; its declared type avoids a circular import in `customer`.
            self.decide(now, cast(PendingRequest, request))
        if event.outcome is api.Outcome.OK:
            self.counter.correct_count(now, customer)
