"""Admission by quota: whether a request is inside its customer's quota, as far as this gateway can tell."""

import mulleinhall.interface as api
from mulleinhall.logic.common import NEVER
from mulleinhall.logic.customer import Customer
from mulleinhall.logic.peers import PeerReports
from mulleinhall.logic.request import PendingRequest
from mulleinhall.logic.usage_counter import EPOCH, UsageCounter

LOW_SHARE = 0.5  # of the slice: below this a gateway asks about its customer's use elsewhere
UNCERTAIN_BURSTS = 0.5  # bursts that the totals of a counter are off by where hardly anything is asked
LEAST_ASK_TIMEOUTS = 4  # counter time-outs that a request must have left to wait for an answer
PEER_PERIODS = 4  # reports missed before a peer's use counts as unknown


class Customers:
    """All customers that this gateway has seen lately."""

    def __init__(self, settings: api.Settings, counter: UsageCounter) -> None:
        self.settings = settings
        self.counter = counter
        self.by_key: dict[str, Customer] = {}
        self.by_hash: dict[int, Customer] = {}

    def find(self, now: float, event: api.Request, plan: api.Plan, process_age: float) -> Customer:
        """The customer of a request, created or resized as the request says."""
        customer = self.by_key.get(event.customer)
        place = max(1, event.spread), event.first
        if customer is not None and (customer.spread, customer.first) != place:
            customer.resize(now, event)
        if customer is None or customer.plan is not plan:
            customer = Customer(event, plan, now, process_age, self.counter.enabled,
                                self.settings.most_units)
            self.by_key[event.customer] = customer
            self.by_hash[customer.hash] = customer
        return customer

    def forget_idle(self, now: float) -> None:
        """Drops customers that are the same as new ones; their last use is too little to be reported."""
        for key in [k for k, customer in self.by_key.items() if customer.forgettable(now)]:
            self.by_hash.pop(self.by_key.pop(key).hash, None)
            self.counter.to_report.pop(key, None)


class Admission:
    """Decides by the local slice, by the counter's totals, or by the peers' reports."""

    def __init__(self, settings: api.Settings, counter: UsageCounter, peers: PeerReports,
                 peer_period: float) -> None:
        self.settings = settings
        self.counter = counter
        self.peers = peers
        self.peer_period = peer_period

    def wants_counter(self, now: float, request: PendingRequest) -> bool:
        """Whether to ask the counter first: the slice is low, as others may have been lent what it holds,
        and what is known does not rule out that there is enough by now."""
        customer, estimate = request.customer, request.customer.estimate
        ask_share = self.counter.ask_share
        # A crowded counter is asked only about what the slice does not hold.
        low = LOW_SHARE * ask_share * customer.slice.capacity
        fits = not self.ceiling_short(now, request) and customer.slice_fits(now, request.units + low)
        if fits or request.too_late:
            return False
        # s until the same question makes sense again: later where the counter is crowded
        again = request.units / request.plan.rate if ask_share >= 1 else estimate.lifetime
        hope = now - estimate.reported_at > again or estimate.level(now) >= request.units
        return hope and request.deadline - now > LEAST_ASK_TIMEOUTS * self.settings.counter_timeout

    def ceiling_short(self, now: float, request: PendingRequest) -> bool:
        """Whether the local slice of the ceiling is too low for the request."""
        if request.plan.ceiling_rate <= 0:
            return False
        return not request.customer.ceiling.slice.fits(now, request.units)

    def inside_quota(self, now: float, request: PendingRequest) -> bool:
        """Whether the quota has room for the request, or is likely enough to have it."""
        customer, plan = request.customer, request.plan
        capped = plan.open_limit and customer.open >= customer.open_limit
        return self._by_rate(now, request) and not capped

    def _by_rate(self, now: float, request: PendingRequest) -> bool:
        customer, plan = request.customer, request.plan
        if not plan.rate:
            return True
        if self._use_is_known(now, customer):
            # A total that was asked for holds this request's units already; what was taken since is off the
            # estimate.  A crowded counter learns late of what it is not asked about, and its totals are off.
            uncertain = customer.thin and not request.counted_units
            margin = UNCERTAIN_BURSTS * (1 - self.counter.ask_share) if uncertain else 0.0
            return customer.estimate.level(now) >= request.units + margin * plan.burst
        if customer.slice_fits(now, request.units):
            return True
        return self._worth_the_risk(now, request)

    def _worth_the_risk(self, now: float, request: PendingRequest) -> bool:
        """For a slice that holds no request: whether one that could not be asked about is sent, while the
        counter is crowded but not dead."""
        estimate = request.customer.estimate
        if not request.customer.thin or now - self.counter.answered_at >= EPOCH / 3:
            return False
        if not self.counter.pays_unasked(request):
            return False
        recent = now - estimate.reported_at < EPOCH / 3
        return not recent or estimate.level(now) >= request.units

    def _use_is_known(self, now: float, customer: Customer) -> bool:
        """Whether there is fresh word of the use elsewhere: a total, or a report from each sibling."""
        if self.counter.enabled:
            return customer.estimate.fresh(now)
        heard = (self.peers.heard_at.get(n, NEVER) for n in customer.siblings(self.settings))
        return now - min(heard, default=now) < PEER_PERIODS * self.peer_period
