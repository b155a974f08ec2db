"""The sizing of the next mechanism: quota leases that are renewed off the request path."""

from __future__ import annotations

from dataclasses import dataclass

from scale.report import model
from scale.report.targets import SITE, TARGETS


@dataclass(frozen=True, slots=True)
class LeasePlan:
    """The choices of the design.  Times are seconds."""

    busy_term: float = 2.0  # of a lease of a tenant that uses much of its quota
    calm_term: float = 20.0  # of any other lease
    batch_period: float = 0.5  # between two batches from an ingress to a shard
    shards_per_region: int = 5  # on machines of those set aside for control
    floor_share: float = 0.5  # of a ceiling that is never leased, but split evenly over the regions


PLAN = LeasePlan()


@dataclass(frozen=True, slots=True)
class LeaseLoad:
    """What the plan costs at full size, if all tenants are in use at once.  Rates are for a second."""

    shards: float
    slices: float  # leases out, one for each tenant and ingress that serves it
    renewals: float  # rows at all shards
    calls: float  # batches at all shards
    calls_per_shard: float
    rows_per_shard: float
    rows_per_call: float
    calls_per_ingress: float


def lease_load(plan: LeasePlan = PLAN) -> LeaseLoad:
    """The load of the plan at the target sizes."""
    spread = (SITE.spread_low + SITE.spread_high) / 2
    slices = model.tenant_slices(TARGETS.tenants, spread)
    renewals = model.lease_renewals_per_s(slices, SITE.busy_tenants_share, plan.busy_term, plan.calm_term)
    shards = plan.shards_per_region * TARGETS.regions
    calls = model.batches_per_s(TARGETS.ingresses, plan.shards_per_region, plan.batch_period)
    return LeaseLoad(
        shards=shards,
        slices=slices,
        renewals=renewals,
        calls=calls,
        calls_per_shard=calls / shards,
        rows_per_shard=renewals / shards,
        rows_per_call=renewals / calls,
        calls_per_ingress=calls / TARGETS.ingresses,
    )
