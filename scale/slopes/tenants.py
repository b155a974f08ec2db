"""The tenants that an ingress serves: their plans, and how much of its quota each one requests."""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import accumulate

from scale.slopes.job import Sizes

PLAN_NAMES = ("small", "middle", "large")
PLAN_RATE_FACTORS = (0.5, 1.0, 2.0)  # rates of the plans, in multiples of the middle plan's
BURST_S = 10.0  # a plan's burst is its rate times this duration
UNIT_CHOICES = (1, 1, 1, 2, 4)  # units of a request, drawn with equal probability
MEAN_REQUEST_UNITS = sum(UNIT_CHOICES) / len(UNIT_CHOICES)
# The share of its quota that a tenant requests is drawn uniformly between these limits.
MIN_QUOTA_SHARE = 0.1
MAX_QUOTA_SHARE = 0.9
OVER_QUOTA_PERIOD = 25  # every 25th tenant requests more than its quota
OVER_QUOTA_OFFSET = 12  # number of the first tenant that requests more than its quota
OVER_QUOTA_SHARE = 2.0  # share of its quota that each of these tenants requests: twice the quota


@dataclass(frozen=True, slots=True)
class PlanRate:
    """The quota of a plan."""

    rate: float
    """In units per second."""
    burst: float
    """In units."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and the name of its plan."""

    key: str
    """The key by which clients identify the tenant."""
    plan: str


@dataclass(frozen=True, slots=True)
class Demand:
    """The tenants of one ingress and the distribution of requests among them."""

    plans: tuple[PlanRate, ...]
    tenants: tuple[Tenant, ...]
    cumulative_weights: tuple[float, ...]
    """For each tenant: the sum of the request weights up to and including its own."""


def _draw_quota_share(number: int, rng: random.Random) -> float:
    drawn_share = rng.uniform(MIN_QUOTA_SHARE, MAX_QUOTA_SHARE)
    return OVER_QUOTA_SHARE if number % OVER_QUOTA_PERIOD == OVER_QUOTA_OFFSET else drawn_share


def build_demand(sizes: Sizes, seed: int) -> Demand:
    """Return tenants and plans for the request rate of the sizes.

    The rates of the plans are chosen so that all tenants together request as many units a second as arrive at
    the ingresses that serve them.
    """
    rng = random.Random(seed)
    tenant_count = sizes.tenants_per_ingress
    weights = [
        _draw_quota_share(number, rng) * PLAN_RATE_FACTORS[number % len(PLAN_RATE_FACTORS)]
        for number in range(tenant_count)
    ]
    # At all ingresses that serve these tenants.
    units_per_s = sizes.requests_per_s * MEAN_REQUEST_UNITS * sizes.spread
    middle_rate = units_per_s / sum(weights)
    plans = tuple(
        PlanRate(factor * middle_rate, factor * middle_rate * BURST_S) for factor in PLAN_RATE_FACTORS
    )
    tenants = tuple(
        Tenant(f"{rng.getrandbits(33):016x}", PLAN_NAMES[number % len(PLAN_NAMES)])
        for number in range(tenant_count)
    )
    return Demand(plans, tenants, tuple(accumulate(weights)))
