"""The interface of a gateway to the shared counter: questions about requests, reports of use, and replies.

Each customer has a count at the counter, to which every gateway adds the units of the requests that it sends.
The count's total shows how much is left of the customer's quota.
"""

import random
from collections.abc import Callable

import ingress.interface as api
from ingress.decisions.constants import NEVER
from ingress.decisions.correction_lease import CorrectionLeases
from ingress.decisions.count_learning import CountLearning
from ingress.decisions.count_sampling import CountSampling
from ingress.decisions.counter_calls import CounterCall, CounterCalls
from ingress.decisions.customer import Customer
from ingress.decisions.request import PendingRequest


class UsageCounter:
    """The interface of the shared counter for the other modules of the package."""

    def __init__(
        self, settings: api.Settings, rng: random.Random, is_enabled: bool, emit: Callable[[api.Action], None]
    ) -> None:
        self.is_enabled = is_enabled
        """Whether this deployment uses the counter."""
        self.last_success_at = NEVER
        """Time in seconds of the last reply to a successful call."""
        self.sampling = CountSampling(settings, rng)
        """The choice of the requests that the counter is asked about."""
        self.calls = CounterCalls(emit)
        """The calls that add use to counts."""
        self.learning = CountLearning(settings)
        """The updates of customers from the totals of their counts."""
        self.leases = CorrectionLeases(settings.counter_timeout, self.calls, emit)
        """The corrections of counts that are outside the range of their token buckets."""

    def should_admit_unsampled(self, request: PendingRequest) -> bool:
        """Return whether sending a request that was not sampled pays on average."""
        return self.sampling.should_admit_unsampled(request)

    def request_total(
        self,
        now: float,
        customer: Customer,
        request: PendingRequest | None = None,
        is_ceiling_slice_short: bool = False,
    ) -> bool:
        """Add this gateway's use to the customer's count; return whether `request` has to await the reply.

        The call adds the request's own units too, so that two gateways that ask at the same time do not both
        get the same units.  Without a request, return whether the call was sent.
        """
        if not self.is_enabled:
            return False
        if customer.counted_use.has_call_in_flight:
            return request is not None  # the reply to that call serves this request too
        if request is not None and not self.sampling.sample_request(request, is_ceiling_slice_short):
            return False
        self.calls.report_use(now, customer)
        return True

    def mark_unreported(self, customer: Customer) -> None:
        """Mark the customer as having use that was not reported to the counter yet."""
        self.calls.customers_to_report[customer.key] = customer

    def withdraw_units(self, request: PendingRequest) -> None:
        """Take back the units counted for a request that is not sent: a rejected request uses no quota."""
        accounting = request.accounting
        if not accounting.counted_units:
            return
        request.customer.counted_use.unreported_units -= accounting.counted_units
        self.mark_unreported(request.customer)
        accounting.counted_units = 0.0

    def discard_unreported(self, customer: Customer) -> None:
        """Discard the unreported use of a customer that is evicted; it is too small to matter."""
        self.calls.customers_to_report.pop(customer.key, None)

    def report_large_use(self, now: float) -> None:
        """Report use that has become large while the counter was not asked about any request."""
        if self.is_enabled:
            self.calls.report_large_use(now)

    def handle_reply(self, now: float, event: api.CounterReply, process_started_at: float) -> Customer | None:
        """Process a reply; return the customer whose call it answers, None if it answers no such call."""
        if self.leases.handle_reply(now, event):
            return None
        call = self.calls.complete_call(event.name)
        if call is None:
            return None
        if event.outcome is api.Outcome.OK:
            self._record_total(now, event, call, process_started_at)
        else:
            self._record_failure(now, event, call)
        return call.customer

    def _record_total(
        self, now: float, event: api.CounterReply, call: CounterCall, process_started_at: float
    ) -> None:
        self.last_success_at = now
        self.sampling.record_reply(event.latency)
        self.learning.apply_total(now, call, event.total, process_started_at)
        self.sampling.record_quota_availability(now, call.customer)

    def _record_failure(self, now: float, event: api.CounterReply, call: CounterCall) -> None:
        self.sampling.record_failure(now)
        if event.outcome is api.Outcome.TIMEOUT:
            # The units were most likely added: the counter executes a call even if its reply comes too late.
            call.customer.counted_use.record_added_units(call.units)

    def correct_count(self, now: float, customer: Customer) -> None:
        """Request the correction of a count outside its range, then report use that has become large."""
        self.leases.request_if_out_of_range(now, customer, self.sampling.rate)
        self.calls.report_use_if_large(now, customer)
