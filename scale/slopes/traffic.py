"""The requests that clients send to one ingress: a seeded Poisson stream over tenants and classes."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from ingress.interface import Idempotency, Request, RequestClass, Settings
from scale.slopes.job import Sizes
from scale.slopes.tenants import UNIT_CHOICES, Demand, Tenant


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request and when it arrives."""

    arrives_at: float
    """In seconds on the simulated clock."""
    request: Request


def generate_arrivals(
    sizes: Sizes, settings: Settings, demand: Demand, start_time: float, seed: int
) -> Iterator[Arrival]:
    """Yield an endless stream of requests from `start_time` on."""
    rng = random.Random(seed)
    now = start_time
    number = 0
    while True:
        now += rng.expovariate(sizes.requests_per_s)
        number += 1
        tenant = rng.choices(demand.tenants, cum_weights=demand.cumulative_weights)[0]
        request_class = rng.choice(settings.classes)
        units = float(rng.choice(UNIT_CHOICES))
        yield Arrival(now, _build_request(str(number), sizes, tenant, request_class, units))


def build_request_of_each_tenant(sizes: Sizes, settings: Settings, demand: Demand) -> list[Request]:
    """Return one request of one unit from each tenant."""
    return [
        _build_request(f"first-{tenant.key}", sizes, tenant, settings.classes[0], 1.0)
        for tenant in demand.tenants
    ]


def _build_request(
    request_id: str, sizes: Sizes, tenant: Tenant, request_class: RequestClass, units: float
) -> Request:
    return Request(
        id=request_id,
        request_class=request_class.name,
        plan=tenant.plan,
        customer=tenant.key,
        remaining_time=request_class.deadline,
        units=units,
        assigned_instances=sizes.spread,
        first_instance=sizes.first_ingress,
        is_write=request_class.idempotency is not Idempotency.IDEMPOTENT,
    )
