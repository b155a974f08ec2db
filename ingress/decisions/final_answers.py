"""The final answers that do not come from a backend: a request is rejected or has failed."""

import ingress.interface as api
from ingress.decisions.action_sink import ActionSink
from ingress.decisions.customer_table import RECLAIM_PERIOD_S
from ingress.decisions.request import PendingRequest
from ingress.decisions.usage_counter import UsageCounter


class FinalAnswers:
    """Finishes requests for which no further attempt is sent to a backend."""

    def __init__(
        self,
        settings: api.Settings,
        requests: dict[str, PendingRequest],
        counter: UsageCounter,
        sink: ActionSink,
    ) -> None:
        self.settings = settings
        self.requests = requests
        self.counter = counter
        self.sink = sink

    def finish_request(self, request: PendingRequest) -> None:
        """Give the final answer: rejected if the client may safely retry the request, otherwise failed."""
        request.is_finished = True
        self.counter.withdraw_units(request)
        self.requests.pop(request.id, None)
        if request.may_reject():
            self.sink.emit(api.Reject(request.id, self._retry_after(request)))
        else:
            self.sink.emit(api.Fail(request.id))

    def reject_new_customer(self, event: api.Request) -> None:
        """Reject a request for whose customer there is no room; it can be repeated when there may be."""
        retry_after = RECLAIM_PERIOD_S if self.settings.sends_retry_after else 0.0
        self.sink.emit(api.Reject(event.id, retry_after))

    def _retry_after(self, request: PendingRequest) -> float:
        """Return the value of Retry-After (s): the time in which the quota refills by the request's units.

        It is based on the complete quota, as the client may send its retry to another gateway.  0 means that
        no Retry-After is sent.
        """
        if not request.plan.rate or not self.settings.sends_retry_after:
            return 0.0
        return request.units / request.plan.rate
