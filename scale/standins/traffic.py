"""The mix of requests that a scenario describes, drawn from a seeded generator."""

from __future__ import annotations

import random
from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate

from scale.scenario import ClassModel, PlanModel, Scenario

UNIT_CHOICES = (1, 1, 1, 2, 4)  # units of a request, drawn with equal probability
MAX_REQUEST_UNITS = max(UNIT_CHOICES)


@dataclass(frozen=True, slots=True)
class DrawnRequest:
    """One request of a tenant."""

    request_class: ClassModel
    plan: PlanModel
    tenant_key: str
    first_ingress: int
    """The first of the `plan.spread` consecutive ingresses that serve the tenant."""
    units: int


class RequestMix:
    """Draws the requests that reach one ingress.

    A tenant's plan and the ingresses that serve it depend only on the number of the tenant.
    """

    def __init__(self, scenario: Scenario, ingress_number: int, rng: random.Random) -> None:
        self.scenario = scenario
        self.ingress_number = ingress_number
        self.rng = rng
        self.ingress_count = scenario.sizes.ingresses
        self.tenant_count = scenario.sizes.tenants
        self.max_spread = max(plan.spread for plan in scenario.plans)
        self._cumulative_plan_shares = list(accumulate(plan.share for plan in scenario.plans))
        self._cumulative_class_shares = list(
            accumulate(request_class.share for request_class in scenario.classes)
        )

    def get_plan(self, tenant: int) -> PlanModel:
        """Return the plan of a tenant.

        Among the tenants with the same first ingress, the position of the n-th is the fractional part of n
        times the golden ratio.  Such positions are spread evenly for any number of tenants, so that each plan
        gets its share of the tenants at each ingress.
        """
        position = (tenant // self.ingress_count * 0.6180339887498949) % 1.0
        return self.scenario.plans[
            bisect(self._cumulative_plan_shares, position * self._cumulative_plan_shares[-1])
        ]

    def draw_request(self) -> DrawnRequest:
        """Draw the next request; all tenants that this ingress serves are equally likely."""
        while True:
            offset = self.rng.randrange(self.max_spread)
            first_ingress = (self.ingress_number - offset) % self.ingress_count
            tenant = first_ingress + self.ingress_count * self.rng.randrange(
                self._count_tenants(first_ingress)
            )
            plan = self.get_plan(tenant)
            # Draw again if the spread of the tenant's plan does not reach as far as this ingress.
            if offset < plan.spread:
                break
        position = self.rng.random() * self._cumulative_class_shares[-1]
        request_class = self.scenario.classes[bisect(self._cumulative_class_shares, position)]
        return DrawnRequest(
            request_class, plan, f"{tenant:016x}", first_ingress, self.rng.choice(UNIT_CHOICES)
        )

    def _count_tenants(self, first_ingress: int) -> int:
        """Return how many tenants have a given first ingress."""
        return (self.tenant_count - 1 - first_ingress) // self.ingress_count + 1
