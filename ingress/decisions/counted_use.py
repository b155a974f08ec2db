"""This gateway's share of the count in which the shared counter adds up one customer's use."""

from dataclasses import dataclass
from math import inf

from ingress.decisions.constants import NEVER

COUNT_EPOCH_S = 30.0  # time for which a count is used; then a count with a new name begins
COUNT_LIFETIME_S = 2 * COUNT_EPOCH_S  # longest time for which the counter may keep a count
# Unreported use above which it is reported without waiting for a request, in bursts.
MIN_REPORTED_BURSTS = 0.125
NO_COUNT = -1  # the name before the first count

EPOCH_PHASES = 1000  # number of different times at which epochs begin; a customer's hash chooses one
# Number of low bits of a count's name that hold the number of its epoch; the higher bits hold the customer's
# hash.
EPOCH_BITS = 24
EPOCH_MASK = (1 << EPOCH_BITS) - 1
# Inverting this bit in a count's name gives the name of its lease.  It is the highest bit of the epoch's
# number, so a count with the same name would be 2^23 epochs away.
LEASE_BIT = 1 << (EPOCH_BITS - 1)


@dataclass(slots=True)
class CountedUse:
    """What this gateway has added to a customer's count, and what the last reply showed of its peers' use."""

    started_at: float
    """Time in seconds when the epoch of this count began."""
    in_debt_since: float = inf
    """Time in seconds of the first total in the current series of totals that all showed a debt.

    It is infinite if the last total showed no debt, or if the lease was requested since then."""
    name: int = NO_COUNT
    """Name of the count at the shared counter."""
    own_units: float = 0.0
    """Units that this gateway has added to the count."""
    peer_units: float = 0.0
    """Units that the other gateways had added to the count by the time of the last reply."""
    unreported_units: float = 0.0
    """Units used by this gateway and not added to the count yet; negative if units are to be taken back."""
    quota_level: float = 0.0
    """Units left of the complete quota according to the last reply; may be below 0 or above the burst."""
    awaits_first_total: bool = False
    """Whether the count is new and no total of it is known yet."""
    has_call_in_flight: bool = False
    """Whether a call for this count has no reply yet."""
    lease_requested_at: float = NEVER
    """Time in seconds of the last request for the lease to correct the count."""

    @property
    def lease_name(self) -> int:
        """The name of the lease that entitles one gateway to correct the count."""
        return self.name ^ LEASE_BIT

    def advance_epoch(self, now: float, customer_hash: int) -> None:
        """Begin a new count if `now` is in another epoch than the current count.

        Epochs of different customers begin at different times, so that new counts are spread over time.
        """
        # Share of an epoch by which this customer's epochs begin before the multiples of `COUNT_EPOCH_S`.
        phase = customer_hash % EPOCH_PHASES / EPOCH_PHASES
        epoch = int(now / COUNT_EPOCH_S + phase)
        name = customer_hash << EPOCH_BITS | epoch & EPOCH_MASK
        if name == self.name:
            return
        self.name = name
        self.started_at = (epoch - phase) * COUNT_EPOCH_S
        self.own_units = 0.0
        self.peer_units = 0.0
        self.awaits_first_total = True

    def record_added_units(self, units: float) -> None:
        """Record that the counter has added `units` of the unreported use to the count."""
        self.unreported_units -= units
        self.own_units += units
