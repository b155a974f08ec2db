"""The state of one customer: its slices of the limits, its counted use, and its attempts in flight."""

from math import ceil
from zlib import crc32

import ingress.interface as api
from ingress.decisions.ceiling import Ceiling
from ingress.decisions.constants import NEVER
from ingress.decisions.counted_use import CountedUse
from ingress.decisions.quota_estimate import QuotaEstimate
from ingress.decisions.quota_request import QuotaRequest
from ingress.decisions.token_bucket import Charge, TokenBucket

EVICT_AFTER_S = 60.0  # time without a request after which a customer with full buckets may be evicted


class Customer:
    """One customer: its quota, its ceiling, and its requests that await a reply of the shared counter."""

    __slots__ = (
        "assigned_instances",
        "attempts_in_flight",
        "ceiling",
        "concurrency_limit",
        "counted_use",
        "estimate",
        "first_instance",
        "has_undersized_slice",
        "hash",
        "key",
        "last_seen_at",
        "plan",
        "requests_awaiting_counter",
        "slice",
        "total_used_units",
    )

    def __init__(
        self,
        request: api.Request,
        plan: api.Plan,
        now: float,
        process_age: float,
        is_counter_enabled: bool,
        max_request_units: float,
    ) -> None:
        """Start with the limits of `plan` for the customer of `request`; `process_age` is in seconds."""
        self.key = request.customer
        """Name of the customer, as requests give it."""
        self.hash = crc32(request.customer.encode())
        """Number that identifies the customer at the shared counter and in gossip; equal on all gateways."""
        self.plan = plan
        self.last_seen_at = NEVER
        """Time in seconds of the customer's last request."""
        self.assigned_instances = max(1, request.assigned_instances)
        """Number of gateways through which the customer's requests come."""
        self.first_instance = request.first_instance
        """Index of the first of these gateways; the others follow it."""
        self.has_undersized_slice = is_counter_enabled and self._is_slice_undersized(max_request_units)
        """Whether the counter is in use and the slice of the quota is smaller than the largest request."""
        self.slice = self._create_full_slice(now)
        """This gateway's part of the quota."""
        self.ceiling = Ceiling(plan, self.assigned_instances, process_age, now)
        """The plan's hard ceiling."""
        self.concurrency_limit = self._calculate_concurrency_limit_slice()
        """Maximum number of attempts in flight from this gateway; 0 means no limit."""
        self.attempts_in_flight = 0
        """Number of attempts in flight from this gateway."""
        self.estimate = QuotaEstimate(plan, now, self.has_undersized_slice)
        """What is left of the complete quota, as far as this gateway knows."""
        self.counted_use = CountedUse(now)
        """This gateway's share of the customer's count at the shared counter."""
        self.total_used_units = 0.0
        """Units used by this gateway since its process started, as reported to peers."""
        self.requests_awaiting_counter: list[QuotaRequest] = []
        """The customer's requests that await a reply of the counter, oldest first."""

    def _is_slice_undersized(self, max_request_units: float) -> bool:
        """Return whether the slice is smaller than the largest request, which then needs the counter."""
        return self.plan.rate > 0 and self.plan.burst < self.assigned_instances * max_request_units

    def _create_full_slice(self, now: float) -> TokenBucket:
        burst = self.plan.burst / self.assigned_instances
        return TokenBucket(self.plan.rate / self.assigned_instances, burst, burst, now)

    def _calculate_concurrency_limit_slice(self) -> int:
        return ceil(self.plan.concurrency_limit / self.assigned_instances)

    def resize_slices(self, now: float, request: api.Request) -> None:
        """Adapt the slices if the customer's requests now come through other gateways than before."""
        assigned_instances = max(1, request.assigned_instances)
        has_same_count = self.assigned_instances == assigned_instances
        if has_same_count and self.first_instance == request.first_instance:
            return
        factor = self.assigned_instances / assigned_instances
        self.assigned_instances = assigned_instances
        self.first_instance = request.first_instance
        self.slice.rescale(now, factor)
        self.ceiling.slice.rescale(now, factor)
        self.concurrency_limit = self._calculate_concurrency_limit_slice()

    def is_evictable(self, now: float) -> bool:
        """Return whether the customer is idle and its buckets are full, so that eviction loses no state."""
        if now - self.last_seen_at <= EVICT_AFTER_S or self._is_in_use():
            return False
        return _are_full(now, self.slice, self.ceiling.slice)

    def equals_new(self, now: float) -> bool:
        """Return whether a new customer would have the same units left, so that it gets none twice."""
        if self._is_in_use():
            return False
        return _are_full(now, self.slice, self.ceiling.slice, self.ceiling.fleet_bucket)

    def _is_in_use(self) -> bool:
        return bool(self.attempts_in_flight or self.requests_awaiting_counter)

    def peer_indices(self, settings: api.Settings) -> set[int]:
        """Return the indices of the other gateways through which the customer's requests come."""
        assigned_indices = {
            (self.first_instance + offset) % settings.instance_count
            for offset in range(self.assigned_instances)
        }
        return assigned_indices - {settings.instance_index}

    def has_units_in_slice(self, now: float, units: float) -> bool:
        """Return whether the slice has `units`; if they exceed its capacity, it may fill up to them."""
        return self.slice.has_units(now, units, max(self.slice.capacity, units))

    def is_under_ceiling(self, now: float, units: float) -> bool:
        """Return whether the ceiling has room for `units`."""
        total_is_current = self.estimate.reported_at == now
        return self.ceiling.has_units(now, units, self.assigned_instances, total_is_current)

    def charge_request(self, now: float, request: QuotaRequest, is_reported: bool) -> None:
        """Charge a request to the quota.

        `is_reported` says that the request needs no report: its units were counted when it was sampled, or
        sampled requests represent it.  The slice does not fall below zero: the rest is charged to what other
        gateways have not used of the complete quota.
        """
        accounting = request.accounting
        accounting.reported_units = accounting.counted_units if is_reported else request.units
        accounting.estimate_charge = min(request.units, max(0.0, self.estimate.level(now)))
        self.estimate.own_use += accounting.estimate_charge
        accounting.charges.append(Charge(self.slice, self.slice.take_units(request.units, 0.0)))
        self.counted_use.unreported_units += 0.0 if is_reported else request.units
        self.total_used_units += request.units

    def refund_request(self, request: QuotaRequest) -> None:
        """Undo the charges of a request to the quota and the ceiling: each bucket gets back its own part."""
        accounting = request.accounting
        for charge in accounting.charges:
            charge.bucket.refund_units(charge.units)
        self.estimate.own_use -= accounting.estimate_charge
        self.counted_use.unreported_units -= accounting.reported_units
        self.total_used_units -= accounting.reported_units
        accounting.charges = []
        accounting.estimate_charge = 0.0
        accounting.reported_units = 0.0

    def settle_units(self, difference: float) -> None:
        """Charge `difference`, a request's true units minus the estimated ones; refund it if negative."""
        self.estimate.own_use += difference
        self.slice.refund_units(-difference)
        self.counted_use.unreported_units += difference
        self.total_used_units += difference


def _are_full(now: float, *buckets: TokenBucket) -> bool:
    return all(bucket.has_units(now, bucket.capacity) for bucket in buckets)
