"""Tests of the stream of requests that arrive at one ingress."""

from __future__ import annotations

import random

from scale.standins.arrivals import Arrivals
from scale.standins.traffic import DrawnRequest
from tests.scale.standins.scenarios import small_scenario
from tests.support.peers import run_async_test, wait_until


async def collect_first_requests(count: int) -> list[DrawnRequest]:
    requests: list[DrawnRequest] = []
    arrivals = Arrivals(small_scenario(), 1, 5_000.0, random.Random(7), requests.append)
    arrivals.start()
    assert arrivals.is_running
    await wait_until(lambda: len(requests) >= count)
    arrivals.stop()
    assert not arrivals.is_running
    return requests[:count]


def test_same_seed_gives_the_same_requests() -> None:
    async def body() -> None:
        assert await collect_first_requests(10) == await collect_first_requests(10)

    run_async_test(body())


def test_no_request_arrives_at_a_rate_of_0() -> None:
    async def body() -> None:
        arrivals = Arrivals(small_scenario(), 1, 0.0, random.Random(7), lambda request: None)
        arrivals.start()
        assert not arrivals.is_running

    run_async_test(body())
