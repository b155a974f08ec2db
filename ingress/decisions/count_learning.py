"""Updates from the shared counter's totals: how much is left of a customer's quota and of its ceiling."""

import ingress.interface as api
from ingress.decisions.ceiling import CeilingUse
from ingress.decisions.counter_calls import CounterCall
from ingress.decisions.customer import Customer


class CountLearning:
    """The update of a customer's quota estimate, ceiling and counted use from a total of the counter."""

    def __init__(self, settings: api.Settings) -> None:
        self.max_request_units = settings.max_request_units

    def apply_total(self, now: float, call: CounterCall, total: float, process_started_at: float) -> None:
        """Apply a successful reply to `call`; `total` is the count in units after the call."""
        customer = call.customer
        count = customer.counted_use
        count.record_added_units(call.units)
        peer_units = total - count.own_units
        peer_units_increase = peer_units - count.peer_units
        # The level is computed first, because this may add to the unreported use, which the ceiling needs.
        count.quota_level = self._level_from_total(now, customer, total)
        if customer.plan.ceiling_rate:
            self._update_ceiling(now, customer, peer_units, peer_units_increase, process_started_at)
        customer.estimate.record_total(now, count.quota_level, peer_units_increase, count.started_at)
        count.peer_units = max(peer_units, 0.0)

    def _level_from_total(self, now: float, customer: Customer, total: float) -> float:
        """Return the units left of the complete quota; the requests awaiting the reply are not charged yet.

        On the first total of a new count, add known earlier use to the unreported use.
        """
        count = customer.counted_use
        plan = customer.plan
        awaiting_units = sum(
            request.units
            for request in customer.requests_awaiting_counter
            if request.accounting.counted_units
        )
        level = (
            plan.burst
            + plan.rate * (now - count.started_at)
            - total
            - count.unreported_units
            + awaiting_units
        )
        if count.awaits_first_total and customer.estimate.is_fresh(now):
            # The total of a new count does not include earlier use, so the known part of it is carried over.
            carried_over = max(0.0, level - max(0.0, customer.estimate.level(now)))
            count.unreported_units += carried_over
            level -= carried_over
        count.awaits_first_total = False
        return level

    def _update_ceiling(
        self,
        now: float,
        customer: Customer,
        peer_units: float,
        peer_units_increase: float,
        process_started_at: float,
    ) -> None:
        count = customer.counted_use
        awaiting_units = sum(
            request.accounting.counted_units for request in customer.requests_awaiting_counter
        )
        use = CeilingUse(
            count_name=count.name,
            known_since=max(count.started_at, process_started_at),
            peer_units=peer_units,
            peer_units_increase=peer_units_increase,
            own_units=count.own_units + count.unreported_units - awaiting_units,
        )
        # A total falls when other gateways take back the units of requests that they rejected.  A decrease
        # too large for this cause means that the counter has lost the count.
        count_was_lost = peer_units_increase < -self.max_request_units * customer.assigned_instances
        customer.ceiling.update_from_count(now, use, count_was_lost)
