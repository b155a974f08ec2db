"""Sampling: chooses the requests that the shared counter is asked about when it cannot serve all calls.

The sampling rate falls when calls fail and rises when replies are fast.  At a rate below 1, two kinds of
requests are sampled with a higher probability: those that cost more if they are sent beyond the quota, and
those whose customers are probably over their quotas.
"""

import random

import ingress.interface as api
from ingress.decisions.constants import NEVER, SLOW_SMOOTHING_FACTOR
from ingress.decisions.customer import Customer
from ingress.decisions.request import PendingRequest

INITIAL_SAMPLING_RATE = 0.5
MIN_SAMPLING_RATE = 0.05  # keeps some calls going to a failing counter, so that its recovery is noticed
SAMPLING_RATE_DECREASE = 0.5  # share by which a failed call lowers the rate
SAMPLING_RATE_INCREASE = 0.02  # added to the rate by each fast reply
# A reply within this share of the timeout is fast: it shows that the counter has spare capacity.  The share
# is above one half because a distant gateway may spend half of the timeout on the round trip.
FAST_REPLY_TIMEOUT_SHARE = 0.6
INITIAL_QUOTA_AVAILABLE_PROBABILITY = 0.5
# Share of a request's units.  If the slice holds less than that, the customer is probably over its quota.
LIKELY_OVER_QUOTA_LEVEL_SHARE = 0.2
LIKELY_OVER_QUOTA_FACTOR = 2.0  # multiplies the sampling probability of requests that are probably over quota
MIN_MEAN_COST = 1e-9  # avoids a division by zero


class CountSampling:
    """The sampling rate, the choice of the sampled requests, and how often quota was available for them."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.counter_timeout = settings.counter_timeout
        """Seconds after which a call to the counter is given up."""
        self.rng = rng
        """Random number generator for the choice of the sampled requests."""
        self.rate = INITIAL_SAMPLING_RATE
        """Share of the requests with a low slice that the counter is asked about."""
        self.rate_decreased_at = NEVER
        """Time in seconds when the rate was last lowered."""
        self.mean_over_quota_cost = 0.0
        """Running mean of the weight that a request costs beyond the quota; 0 before the first request."""
        self.quota_available_probability = {
            plan.name: INITIAL_QUOTA_AVAILABLE_PROBABILITY for plan in settings.plans
        }
        """Running estimate of the probability that a total shows enough quota for a request, by plan name."""

    def sample_request(self, request: PendingRequest, is_ceiling_slice_short: bool) -> bool:
        """Return whether to ask the counter about the request; if so, add its units to the unreported use.

        The counter is always asked if the slice of the ceiling has too few units for the request.  Where
        requests may be admitted without asking, each sampled request is counted with a multiple of its units,
        to represent similar requests that were not sampled.
        """
        probability = self._sampling_probability(request)
        represents_others = request.customer.has_undersized_slice and self._is_worth_sending_unsampled(
            request.plan
        )
        sampled = is_ceiling_slice_short or self.rng.random() < probability
        if sampled:
            weight = probability if represents_others and not is_ceiling_slice_short else 1.0
            request.accounting.counted_units = request.units / weight
            request.customer.counted_use.unreported_units += request.accounting.counted_units
        request.accounting.is_covered_by_samples = represents_others and not sampled
        return sampled

    def _sampling_probability(self, request: PendingRequest) -> float:
        """Return the probability to sample the request, and include its cost in the mean cost."""
        cost = self._over_quota_cost(request)
        smoothing = SLOW_SMOOTHING_FACTOR if self.mean_over_quota_cost else 1.0
        self.mean_over_quota_cost += (cost - self.mean_over_quota_cost) * smoothing
        factor = LIKELY_OVER_QUOTA_FACTOR if self._is_likely_over_quota(request) else 1.0
        base_rate = self.rate * factor
        relative_cost = self.rate + (1 - self.rate) * cost / max(self.mean_over_quota_cost, MIN_MEAN_COST)
        return min(1.0, max(MIN_SAMPLING_RATE, base_rate * relative_cost))

    def _over_quota_cost(self, request: PendingRequest) -> float:
        """Return the weight that the request costs if it is sent beyond the quota."""
        plan = request.plan
        weight = plan.over_quota_cost_share * plan.weight_factor * request.request_class.priority_weight
        return weight * request.units

    def _is_likely_over_quota(self, request: PendingRequest) -> bool:
        """Return whether the slice is so low that the customer is probably over its quota."""
        return request.customer.slice.level < LIKELY_OVER_QUOTA_LEVEL_SHARE * request.units

    def _is_worth_sending_unsampled(self, plan: api.Plan) -> bool:
        """Return whether sending a request of the plan pays on average if the remaining quota is not known.

        Let p be the probability that quota is available, and c the share of its weight that a request costs
        beyond the quota.  The request gains its weight with probability p and loses c of it otherwise, so
        sending pays if p > (1 - p) * c.
        """
        cost = plan.over_quota_cost_share
        return self.quota_available_probability[plan.name] > cost / (1 + cost)

    def should_admit_unsampled(self, request: PendingRequest) -> bool:
        """Return whether sending a request that was not sampled pays on average.

        It does not pay for a customer that sends more than its quota.  Signs of such a customer are a request
        that arrives before the slice has refilled by its units since the previous request, and a client's
        retry when the slice is low.
        """
        if request.arrived_before_refill:
            return False
        if request.is_client_retry and self._is_likely_over_quota(request):
            return False
        return self._is_worth_sending_unsampled(request.plan)

    def record_reply(self, latency: float) -> None:
        """Raise the rate if a call was answered fast; `latency` is in seconds."""
        if latency < FAST_REPLY_TIMEOUT_SHARE * self.counter_timeout:
            self.rate = min(1.0, self.rate + SAMPLING_RATE_INCREASE)

    def record_failure(self, now: float) -> None:
        """Lower the rate after a failed call.

        All gateways together may send more calls than the counter can serve.
        """
        # Calls that were in flight together also fail together, so they lower the rate only once.
        if now - self.rate_decreased_at > self.counter_timeout:
            self.rate = max(MIN_SAMPLING_RATE, self.rate * (1 - SAMPLING_RATE_DECREASE))
            self.rate_decreased_at = now

    def record_quota_availability(self, now: float, customer: Customer) -> None:
        """Update the plan's probability from the requests that awaited a total.

        The customer's estimate must include that total already.
        """
        probabilities = self.quota_available_probability
        plan = customer.plan.name
        for request in customer.requests_awaiting_counter:
            available = customer.estimate.level(now) >= request.units
            probabilities[plan] += SLOW_SMOOTHING_FACTOR * (available - probabilities[plan])
