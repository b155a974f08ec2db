"""Corrections of counts that have left the range of their customers' token buckets.

A count at the shared counter only adds up units, so it is not limited to the range of a token bucket: idle
time accumulates as credit beyond the burst, and excess use as debt below zero.  The gateway that holds the
lease of a count removes the credit or the debt.  Without the lease, all gateways that see a total would
correct it at the same time, and would then correct each other's corrections.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import ingress.interface as api
from ingress.decisions.counted_use import COUNT_EPOCH_S
from ingress.decisions.counter_calls import CounterCalls
from ingress.decisions.customer import Customer

# Slack of the bucket's range, in bursts: the minimum applies at a sampling rate of 1, the maximum at low
# sampling rates.  Without a correction, a level may be below the range by half of the slack, and above it by
# twice the slack.
MIN_SLACK_BURSTS = 0.1
MAX_SLACK_BURSTS = 0.25
# Time for which a debt must last before it is corrected, and lifetime of a lease, both in counter timeouts.
LEASE_TIMEOUTS = 10.0


@dataclass(slots=True)
class PendingCorrection:
    """A correction whose lease was requested."""

    customer: Customer
    """The customer whose count is to be corrected."""
    units: float
    """Units to add to the count; negative to cancel a debt."""


class CorrectionLeases:
    """The leases that were requested from the counter, and the corrections that need them.

    A lease is a count with a name of its own.  The first gateway that adds 1 to it holds the lease until the
    counter drops that count.
    """

    def __init__(
        self, counter_timeout: float, calls: CounterCalls, emit: Callable[[api.Action], None]
    ) -> None:
        """Start without pending corrections; `counter_timeout` is in seconds."""
        self.lifetime = LEASE_TIMEOUTS * counter_timeout
        """Seconds for which a lease is held, and for which a debt must last before it is corrected."""
        self.calls = calls
        self.emit = emit
        self.pending_corrections: dict[int, PendingCorrection] = {}
        """The corrections whose lease has no reply yet, by the name of the lease."""

    def request_if_out_of_range(self, now: float, customer: Customer, sampling_rate: float) -> None:
        """Request the lease of a customer's count if the quota's level is outside the bucket's range.

        Credit is corrected immediately.  Debt must last, because it may be temporary: other gateways soon
        take back the units of requests that they asked about and then rejected.
        """
        count = customer.counted_use
        burst = customer.plan.burst
        slack = min(1 - sampling_rate + MIN_SLACK_BURSTS, MAX_SLACK_BURSTS) * burst
        count.in_debt_since = inf if count.quota_level >= -slack / 2 else min(count.in_debt_since, now)
        has_lasting_debt = now - count.in_debt_since > self.lifetime
        has_credit = count.quota_level > burst + 2 * slack
        may_request_lease = now - count.lease_requested_at > self.lifetime
        if (has_lasting_debt or has_credit) and may_request_lease:
            units = count.quota_level - (burst if count.quota_level > 0 else 0.0)
            self._request_lease(now, customer, units)

    def _request_lease(self, now: float, customer: Customer, units: float) -> None:
        count = customer.counted_use
        count.lease_requested_at = now
        count.in_debt_since = inf
        self.pending_corrections[count.lease_name] = PendingCorrection(customer, units)
        self.emit(api.IncrementCounter(count.lease_name, 1.0, self.lifetime))

    def handle_reply(self, now: float, reply: api.CounterReply) -> bool:
        """Correct the count if the reply grants its lease; return whether the reply was for a lease."""
        pending = self.pending_corrections.pop(reply.name, None)
        if pending is None:
            return False
        granted = reply.outcome is api.Outcome.OK and reply.total == 1
        count = pending.customer.counted_use
        epoch_is_over = now >= count.started_at + COUNT_EPOCH_S  # the next epoch's count needs no correction
        if granted and not epoch_is_over:
            count.unreported_units += pending.units
            self.calls.report_use_if_large(now, pending.customer)
        return True
