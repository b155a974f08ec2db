"""Admission by quota: checks requests against what this gateway knows of their customers' limits."""

import ingress.interface as api
from ingress.decisions.counted_use import COUNT_EPOCH_S
from ingress.decisions.customer import Customer
from ingress.decisions.customer_table import CustomerTable
from ingress.decisions.peer_reports import PeerReports
from ingress.decisions.request import PendingRequest
from ingress.decisions.usage_counter import UsageCounter

# Share of a slice's capacity.  The counter is asked about a request that would leave less than this share,
# multiplied by the sampling rate, in the slice.
LOW_SLICE_SHARE = 0.5
# A request awaits the counter's reply only if its deadline is further away than this many counter timeouts.
MIN_COUNTER_TIMEOUTS_LEFT = 4
# Assumed error of the counter's totals at a sampling rate of 0, in bursts; at a rate of 1 there is no error.
TOTAL_ERROR_BURSTS = 0.5
# Without a successful call for this long, the counter is considered down rather than overloaded.
COUNTER_DOWN_AFTER_S = COUNT_EPOCH_S / 3
# For this long after a total, a request is not admitted unsampled if the total leaves too few units for it.
EXHAUSTED_TOTAL_LIFETIME_S = COUNT_EPOCH_S / 3


class Admission:
    """The customers that have sent requests recently, and the checks of requests against their limits.

    A request is checked against the counter's total or the peers' reports if they are recent, and otherwise
    against this gateway's slice of the customer's quota.
    """

    def __init__(
        self,
        settings: api.Settings,
        counter: UsageCounter,
        peer_reports: PeerReports,
        max_customers: int | None,
    ) -> None:
        self.settings = settings
        self.counter = counter
        self.peer_reports = peer_reports
        self.customers = CustomerTable(max_customers)
        """The customers that have sent requests recently."""

    def get_or_create_customer(
        self, now: float, event: api.Request, plan: api.Plan, process_age: float
    ) -> Customer | None:
        """Return the customer of a request; create it or resize its slices if needed.

        Return None if the customer is new and there is no room for it.  `process_age` is the age of this
        process in seconds.
        """
        customer = self.customers.by_key.get(event.customer)
        if customer is not None:
            customer.resize_slices(now, event)
            if customer.plan is plan:
                return customer
        elif self.customers.is_full():
            self._discard_unreported(self.customers.reclaim(now))
            if self.customers.is_full():
                return None
        # A customer that is new, or whose plan has changed, starts with new limits.
        customer = Customer(
            event, plan, now, process_age, self.counter.is_enabled, self.settings.max_request_units
        )
        self.customers.add(customer)
        return customer

    def evict_idle(self, now: float) -> None:
        """Remove idle customers whose state equals that of a new customer.

        Their use that was not reported yet is discarded, because it is too small to matter.
        """
        self._discard_unreported(self.customers.evict_idle(now))

    def _discard_unreported(self, customers: list[Customer]) -> None:
        for customer in customers:
            self.counter.discard_unreported(customer)

    def needs_counter(self, now: float, request: PendingRequest) -> bool:
        """Return whether to ask the counter before the request is decided.

        The counter is asked if a local slice is low, the reply can arrive in time, and the complete quota may
        have enough units for the request.
        """
        # The slices are checked first because the check also refills them.  A skipped refill would change how
        # their levels are rounded, and thus perhaps a later decision.
        if self._slices_suffice(now, request):
            return False
        if request.is_too_late or not self._has_time_for_reply(now, request):
            return False
        return self._may_find_more_quota(now, request)

    def _slices_suffice(self, now: float, request: PendingRequest) -> bool:
        """Return whether the slices of the ceiling and of the quota have enough units without the counter."""
        if self.is_ceiling_slice_short(now, request):
            return False
        customer = request.customer
        low_level = LOW_SLICE_SHARE * self.counter.sampling.rate * customer.slice.capacity
        return customer.has_units_in_slice(now, request.units + low_level)

    def _has_time_for_reply(self, now: float, request: PendingRequest) -> bool:
        return request.deadline - now > MIN_COUNTER_TIMEOUTS_LEFT * self.settings.counter_timeout

    def _may_find_more_quota(self, now: float, request: PendingRequest) -> bool:
        """Return whether a new total may show enough units: the last total is old or showed enough."""
        estimate = request.customer.estimate
        # A counter that serves all calls is asked again once the quota has refilled by the request's units.
        asks_often = self.counter.sampling.rate >= 1
        min_age = request.units / request.plan.rate if asks_often else estimate.lifetime
        return now - estimate.reported_at > min_age or estimate.level(now) >= request.units

    def is_ceiling_slice_short(self, now: float, request: PendingRequest) -> bool:
        """Return whether the local slice of the ceiling has fewer units than the request needs."""
        ceiling = request.customer.ceiling
        return request.plan.ceiling_rate > 0 and not ceiling.slice.has_units(now, request.units)

    def is_inside_quota(self, now: float, request: PendingRequest) -> bool:
        """Return whether the request is inside its customer's quota and concurrency limit.

        If the complete quota is not known, a request that is probably inside it counts as inside.
        """
        # The rate is checked first because the check also refills the slice.  A skipped refill would change
        # how its level is rounded, and thus perhaps a later decision.
        is_inside_rate = self._is_inside_rate(now, request)
        return is_inside_rate and not self._is_at_concurrency_limit(request)

    def _is_at_concurrency_limit(self, request: PendingRequest) -> bool:
        customer = request.customer
        return (
            request.plan.concurrency_limit > 0 and customer.attempts_in_flight >= customer.concurrency_limit
        )

    def _is_inside_rate(self, now: float, request: PendingRequest) -> bool:
        customer = request.customer
        if not request.plan.rate:
            return True
        if self._is_peer_use_known(now, customer):
            return customer.estimate.level(now) >= request.units + self._estimate_margin(request)
        return customer.has_units_in_slice(now, request.units) or self._may_admit_unsampled(now, request)

    def _estimate_margin(self, request: PendingRequest) -> float:
        """Return the units that the estimate must show in addition to the request's own.

        An overloaded counter is asked only about some requests and gets the use of the others late, so its
        totals are inaccurate.
        """
        if not request.customer.has_undersized_slice or request.accounting.counted_units:
            return 0.0
        return TOTAL_ERROR_BURSTS * (1 - self.counter.sampling.rate) * request.plan.burst

    def _may_admit_unsampled(self, now: float, request: PendingRequest) -> bool:
        """Return whether to admit a request beyond an undersized slice although the counter was not asked.

        This is done only while the counter is overloaded, not while it is down.
        """
        if not request.customer.has_undersized_slice:
            return False
        if now - self.counter.last_success_at >= COUNTER_DOWN_AFTER_S:
            return False
        estimate = request.customer.estimate
        total_is_recent = now - estimate.reported_at < EXHAUSTED_TOTAL_LIFETIME_S
        if total_is_recent and estimate.level(now) < request.units:
            return False
        return self.counter.should_admit_unsampled(request)

    def _is_peer_use_known(self, now: float, customer: Customer) -> bool:
        """Return whether there is a recent total from the counter, or a recent report from each peer."""
        if self.counter.is_enabled:
            return customer.estimate.is_fresh(now)
        return self.peer_reports.have_all_reported(now, customer.peer_indices(self.settings))
