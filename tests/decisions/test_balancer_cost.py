"""Tests of the balancer's cost, measured in function calls, which do not depend on the machine."""

from __future__ import annotations

import cProfile
import pstats
from collections.abc import Callable
from dataclasses import replace

import pytest

from ingress.decisions import Gateway
from ingress.decisions.balancer import MAX_COMPARED, MAX_FALLBACK_COMPARED, MAX_SAMPLED_READY
from ingress.decisions.subset import MIN_GATEWAYS_PER_BACKEND, SUBSET_SIZE, Subsetting
from ingress.interface import (
    AttemptEnded,
    Backend,
    EndpointUpdate,
    EndpointUpdateKind,
    Outcome,
    Request,
    Settings,
)
from tests.support.balancer import MANY_GATEWAYS_SETTINGS, make_backends
from tests.support.gateway import SETTINGS, find_sent_attempts


def count_calls(action: Callable[[], object]) -> int:
    """Return how many function calls an action makes."""
    profile = cProfile.Profile()
    profile.runcall(action)
    return int(pstats.Stats(profile).total_calls)  # type: ignore[attr-defined]


def create_warmed_up_gateway(settings: Settings, backend_count: int) -> tuple[Gateway, float]:
    """Return a gateway with `backend_count` backends after 100 requests, and the current time (s)."""
    now = 100.0
    gateway = Gateway(settings, 1)
    gateway.handle(now, EndpointUpdate(EndpointUpdateKind.RESTORED, make_backends(backend_count)))
    for number in range(100):
        now += 0.01
        serve_request(gateway, now, f"w{number}")
    return gateway, now


def serve_request(gateway: Gateway, now: float, request_id: str) -> None:
    """Send a request with the id `request_id` and answer its attempts, all at the time `now`."""
    for sent in find_sent_attempts(gateway.handle(now, Request(request_id, "read", "basic", "c", 4.0))):
        gateway.handle(now, AttemptEnded(sent.id, 0, sent.backend, Outcome.OK, 0.05, True))


@pytest.mark.parametrize("gateway_count", [400, 3400])
def test_cost_of_a_request_does_not_grow_with_the_number_of_backends(gateway_count: int) -> None:
    costs = {}
    for backend_count in (200, 20_000):
        gateway, now = create_warmed_up_gateway(
            replace(MANY_GATEWAYS_SETTINGS, instance_count=gateway_count), backend_count
        )
        costs[backend_count] = [
            count_calls(lambda gateway=gateway, now=now, n=n: serve_request(gateway, now, f"r{n}"))  # type: ignore[misc]
            for n in range(40)
        ]
    assert sum(costs[20_000]) <= 3.0 * sum(costs[200])  # 32 backends are compared instead of 12
    if 20_000 * MIN_GATEWAYS_PER_BACKEND / gateway_count <= SUBSET_SIZE:
        assert sum(costs[20_000]) <= 1.1 * sum(costs[200])


def test_request_without_available_backend_compares_a_bounded_number() -> None:
    gateway, now = create_warmed_up_gateway(MANY_GATEWAYS_SETTINGS, 20_000)
    for backend in gateway.balancer.candidates:
        backend.record_failure(now, Outcome.CONNECT_FAILED, 60.0)
    max_compared_count = MAX_COMPARED + MAX_FALLBACK_COMPARED + MAX_SAMPLED_READY
    assert count_calls(lambda: serve_request(gateway, now, "r")) < 15 * max_compared_count + 1000


def test_cost_of_a_changed_entry_does_not_grow_with_the_number_of_backends() -> None:
    costs = []
    for gateways, backend_count in ((40, 200), (3400, 20_000)):
        gateway, now = create_warmed_up_gateway(
            replace(MANY_GATEWAYS_SETTINGS, instance_count=gateways), backend_count
        )
        change = EndpointUpdate(EndpointUpdateKind.UPDATE, (Backend("new"),))
        costs.append(count_calls(lambda gateway=gateway, now=now, change=change: gateway.handle(now, change)))  # type: ignore[misc]
    assert costs[1] <= 3 * costs[0]


def test_counting_the_gateways_that_prefer_a_backend_visits_few_gateways() -> None:
    subsetting = Subsetting(replace(SETTINGS, instance_count=3400))
    subsetting.update([], [f"b{n}" for n in range(20_000)])
    assert count_calls(lambda: subsetting.count_gateways_preferring("b7")) < 340
