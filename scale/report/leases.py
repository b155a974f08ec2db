"""Compute the load of a planned mechanism: quota leases that are renewed outside the request path."""

from __future__ import annotations

from dataclasses import dataclass

from scale.report import model
from scale.report.targets import SITE, TARGETS


@dataclass(frozen=True, slots=True)
class LeasePlan:
    """The parameters of the lease design.  Times are in seconds."""

    busy_term: float = 2.0  # duration of a lease of a tenant that uses much of its quota
    calm_term: float = 20.0  # duration of any other lease
    batch_period: float = 0.5  # time between two batches of renewals from an ingress to a shard
    shards_per_region: int = 5  # shards run on the machines set aside for control
    floor_share: float = 0.5  # share of a ceiling that is never leased but split evenly among the regions


LEASE_PLAN = LeasePlan()


@dataclass(frozen=True, slots=True)
class LeaseLoad:
    """The load of a lease design at full size, while all tenants are active.  Rates are per second."""

    shards: float
    slices: float  # leases in use: one for each pair of a tenant and an ingress that serves it
    renewals: float  # rows of renewals at all shards together
    calls: float  # batches at all shards together
    calls_per_shard: float
    rows_per_shard: float
    rows_per_call: float
    calls_per_ingress: float


def compute_lease_load(plan: LeasePlan = LEASE_PLAN) -> LeaseLoad:
    """Compute the load of a lease design at the target sizes."""
    ingresses_per_tenant = (SITE.spread_low + SITE.spread_high) / 2
    slices = model.tenant_slices(TARGETS.tenants, ingresses_per_tenant)
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
