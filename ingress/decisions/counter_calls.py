"""The calls by which this gateway adds its use to the counts at the shared counter."""

from collections.abc import Callable
from dataclasses import dataclass

import ingress.interface as api
from ingress.decisions.counted_use import COUNT_LIFETIME_S, MIN_REPORTED_BURSTS
from ingress.decisions.customer import Customer

REPORT_DECIMALS = 3  # decimal places of the units in a call


@dataclass(slots=True)
class CounterCall:
    """A call that has no reply yet."""

    customer: Customer
    """The customer to whose count the call adds units."""
    units: float
    """The units that the call adds."""


class CounterCalls:
    """The calls in flight, at most one for each customer, and the customers whose use is to be reported."""

    def __init__(self, emit: Callable[[api.Action], None]) -> None:
        self.emit = emit
        self.in_flight: dict[int, CounterCall] = {}
        """The calls without a reply, by the name of their count."""
        self.customers_to_report: dict[str, Customer] = {}
        """The customers with use that was not reported yet, by their key."""

    def report_use(self, now: float, customer: Customer) -> None:
        """Send a call that adds the customer's unreported use to its count; the reply holds the new total."""
        count = customer.counted_use
        count.advance_epoch(now, customer.hash)
        count.has_call_in_flight = True
        self.customers_to_report.pop(customer.key, None)
        self.in_flight[count.name] = CounterCall(customer, count.unreported_units)
        self.emit(
            api.IncrementCounter(count.name, round(count.unreported_units, REPORT_DECIMALS), COUNT_LIFETIME_S)
        )

    def complete_call(self, name: int) -> CounterCall | None:
        """Remove and return the call for the count `name`, whose reply has arrived; None if there is none."""
        call = self.in_flight.pop(name, None)
        if call is not None:
            call.customer.counted_use.has_call_in_flight = False
        return call

    def report_use_if_large(self, now: float, customer: Customer) -> None:
        """Report the customer's use if it is large and no call for its count is in flight.

        A small use is reported with the call for a later request.
        """
        count = customer.counted_use
        is_large = abs(count.unreported_units) > MIN_REPORTED_BURSTS * customer.plan.burst
        if is_large and not count.has_call_in_flight:
            self.report_use(now, customer)

    def report_large_use(self, now: float) -> None:
        """Report the unreported use of each customer for which it is large."""
        for customer in list(self.customers_to_report.values()):
            self.report_use_if_large(now, customer)
