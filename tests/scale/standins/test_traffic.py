"""Tests of the mix of requests that reach one ingress."""

from __future__ import annotations

import random

from scale.standins.traffic import RequestMix
from tests.scale.standins.scenarios import small_scenario


def test_requests_come_from_tenants_that_the_ingress_serves() -> None:
    scenario = small_scenario()
    for ingress in range(4):
        mix = RequestMix(scenario, ingress, random.Random(ingress))
        for request in [mix.draw_request() for _ in range(200)]:
            assert (ingress - request.first_ingress) % 4 < request.plan.spread
            tenant = int(request.tenant_key, 16)
            assert tenant < 40
            assert (tenant % 4, mix.get_plan(tenant)) == (request.first_ingress, request.plan)
