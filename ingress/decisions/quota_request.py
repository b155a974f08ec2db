"""The part of a request that its customer's quota needs: its units, and what they were charged to."""

from __future__ import annotations

from dataclasses import dataclass, field

from ingress.decisions.token_bucket import Charge


@dataclass(slots=True)
class QuotaAccounting:
    """What a request has taken from its customer's limits, and what the shared counter knows of it."""

    is_inside_quota: bool = False
    """Whether the request was admitted inside the quota."""
    charges: list[Charge] = field(default_factory=list)
    """Units taken from each bucket."""
    estimate_charge: float = 0.0
    """Units subtracted from the estimate of the complete quota."""
    reported_units: float = 0.0
    """Units that the counter knows of, or will get with a later call."""
    counted_units: float = 0.0
    """Units counted for the request when it was sampled; 0 once they are charged or taken back."""
    is_covered_by_samples: bool = False
    """Whether the counter was not asked because sampled requests represent this one in the count."""


class QuotaRequest:
    """A request as its customer's quota needs it; `PendingRequest` adds the rest of its state."""

    def __init__(self, request_id: str, units: float) -> None:
        self.id = request_id
        self.units = units
        """Units that the request takes from the quota."""
        self.accounting = QuotaAccounting()
