"""Tests of the retry delays, which must let a change be received before it counts as notified.

Time is simulated.  Before the change, the agent fails in one of several ways.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import pytest

from ingress.discovery.backoff import (
    INITIAL_REJECTED_BACKOFF_S,
    MAX_REJECTED_BACKOFF_S,
    MAX_TIMEOUT_BACKOFF_S,
    draw_jittered_delay,
    draw_rejected_backoff_delay,
)
from ingress.discovery.client import DiscoveryClient
from ingress.discovery.endpoint_list import EndpointList
from ingress.discovery.errors import (
    DiscoveryRejectedError,
    DiscoveryTimeoutError,
    DiscoveryUnavailableError,
)
from ingress.discovery.timing import (
    NOTIFICATION_MARGIN_S,
    NOTIFIED_WITHIN_S,
    POLLED_TIMING,
    PUSHED_TIMING,
    RETRY_WAIT_MS,
    SERVICE_TIME_LIMIT_S,
    watch_timing,
)
from ingress.discovery.watch import EndpointWatch
from ingress.interface import EndpointUpdateKind
from tests.support.discovery import LOCAL_ADDRESS, encode_endpoint_list, running_watch
from tests.support.peers import make_endpoint_entry, run_async_test

SEED_COUNT = 300
HELD_VERSION = 41
CHANGED_VERSION = 42
FAILURES_END_S = 30.0  # time at which discovery becomes reachable and has a change
FAILURES = ["rejected", "no connection", "invalid", "silent"]
MAX_CHANGE_DELAY_S = NOTIFIED_WITHIN_S - NOTIFICATION_MARGIN_S


class SimulatedAgent:
    """An agent that fails every call until `failures_end_s`, loses one call, and then responds to all calls.

    It responds after `service_time_s`.  The simulated time advances only in `sleep`.
    """

    def __init__(self, failure: str, service_time_s: float, failures_end_s: float = FAILURES_END_S) -> None:
        self.failure = failure
        self.service_time_s = service_time_s
        self.failures_end_s = failures_end_s
        self.now = 0.0
        self.has_lost_call = False
        self.call_times: list[float] = []
        self.change_received = asyncio.Event()

    @asynccontextmanager
    async def open_client(self, _: tuple[str, int]) -> AsyncIterator[DiscoveryClient]:
        yield self

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        await asyncio.sleep(0)

    async def fetch(self, query: str, timeout_s: float, max_body_bytes: int) -> bytes:
        await asyncio.sleep(0)
        self.call_times.append(self.now)
        if self.change_received.is_set():
            await asyncio.Event().wait()
        if self.now < self.failures_end_s:
            return await self._fail_call(timeout_s)
        if not self.has_lost_call:
            self.has_lost_call = True
            await self._lose_call(timeout_s)
        assert self.service_time_s < timeout_s
        await self.sleep(self.service_time_s)
        return encode_endpoint_list(CHANGED_VERSION, not query, make_endpoint_entry(LOCAL_ADDRESS))

    async def _fail_call(self, timeout_s: float) -> bytes:
        if self.failure == "rejected":
            raise DiscoveryRejectedError("status 503")
        if self.failure == "no connection":
            raise DiscoveryUnavailableError("refused")
        if self.failure == "silent":
            # The call that times out after the end of the failures is the lost one.
            self.has_lost_call = self.now + timeout_s > self.failures_end_s
            await self._lose_call(timeout_s)
        await self.sleep(0.01)
        return b"nonsense"

    async def _lose_call(self, timeout_s: float) -> None:
        await self.sleep(timeout_s)
        raise DiscoveryTimeoutError("no response")


async def measure_change_delay(agent: SimulatedAgent, seed: int, is_pushed: bool) -> float:
    """Return the seconds from the end of the failures until the change is received."""

    def on_update(kind: EndpointUpdateKind, update: EndpointList) -> None:
        assert update.version == CHANGED_VERSION
        agent.change_received.set()

    timing = watch_timing(is_pushed=is_pushed)
    watch = EndpointWatch(
        LOCAL_ADDRESS, on_update, Random(seed), HELD_VERSION, timing, agent.open_client, agent.sleep
    )
    async with running_watch(watch):
        await agent.change_received.wait()
    return agent.now - agent.failures_end_s


def select_service_time(is_pushed: bool) -> float:
    return 0.0 if is_pushed else SERVICE_TIME_LIMIT_S


@pytest.mark.parametrize("is_pushed", [True, False])
@pytest.mark.parametrize("failure", FAILURES)
def test_change_after_many_failures_is_received_in_time(failure: str, is_pushed: bool) -> None:
    async def body() -> None:
        service_time_s = select_service_time(is_pushed)
        delays = [
            await measure_change_delay(SimulatedAgent(failure, service_time_s), seed, is_pushed)
            for seed in range(SEED_COUNT)
        ]
        assert max(delays) <= MAX_CHANGE_DELAY_S

    run_async_test(body())


@pytest.mark.parametrize("is_pushed", [True, False])
def test_change_during_an_unanswered_long_poll_is_received_in_time(is_pushed: bool) -> None:
    async def body() -> None:
        service_time_s = select_service_time(is_pushed)
        delays = [
            await measure_change_delay(SimulatedAgent("silent", service_time_s, 0.0), seed, is_pushed)
            for seed in range(SEED_COUNT)
        ]
        assert max(delays) <= MAX_CHANGE_DELAY_S

    run_async_test(body())


def test_longest_delays_and_calls_fit_into_the_notification_time() -> None:
    assert NOTIFIED_WITHIN_S == 6.0
    assert NOTIFICATION_MARGIN_S >= 0.25
    longest_delay_s = max(MAX_REJECTED_BACKOFF_S, POLLED_TIMING.max_backoff_s)
    lost_poll_s = POLLED_TIMING.poll_timeout_s + MAX_TIMEOUT_BACKOFF_S
    assert longest_delay_s + lost_poll_s + SERVICE_TIME_LIMIT_S <= MAX_CHANGE_DELAY_S
    assert POLLED_TIMING.watch_timeout_s + MAX_TIMEOUT_BACKOFF_S + SERVICE_TIME_LIMIT_S <= MAX_CHANGE_DELAY_S
    delay_after_loss_s = min(PUSHED_TIMING.max_backoff_s, MAX_TIMEOUT_BACKOFF_S)
    assert longest_delay_s + 2 * PUSHED_TIMING.poll_timeout_s + delay_after_loss_s <= MAX_CHANGE_DELAY_S
    assert 2 * PUSHED_TIMING.watch_timeout_s + delay_after_loss_s <= MAX_CHANGE_DELAY_S
    shortest_timeout_s = min(POLLED_TIMING.poll_timeout_s, POLLED_TIMING.watch_grace_s)
    assert shortest_timeout_s > SERVICE_TIME_LIMIT_S + RETRY_WAIT_MS / 1000


def test_call_rate_to_a_rejecting_service_falls_to_its_bound() -> None:
    """At the maximum backoff, a gateway makes on average at most one call in 3/4 of the longest delay."""

    async def body() -> None:
        agents = [SimulatedAgent("rejected", SERVICE_TIME_LIMIT_S) for _ in range(SEED_COUNT)]
        for seed, agent in enumerate(agents):
            await measure_change_delay(agent, seed, False)
        late_call_counts = [
            sum(10.0 <= at_s < FAILURES_END_S for at_s in agent.call_times) for agent in agents
        ]
        rate = sum(late_call_counts) / SEED_COUNT / (FAILURES_END_S - 10.0)
        assert rate < 1.05 / (0.75 * MAX_REJECTED_BACKOFF_S)

    run_async_test(body())


def test_retries_of_a_fleet_rejected_at_the_same_time_spread_evenly() -> None:
    """The calls per tenth of a second even out after several hundred gateways were rejected together."""
    gateway_count = 400
    interval_s = 0.1
    calls: Counter[int] = Counter()
    for rng in map(Random, range(gateway_count)):
        at_s = 0.0
        failure_count = 0
        while at_s < FAILURES_END_S:
            calls[int(at_s / interval_s)] += 1
            at_s += draw_rejected_backoff_delay(failure_count, rng)
            failure_count += 1
    later_call_counts = [
        calls[number] for number in range(int(5.0 / interval_s), int(FAILURES_END_S / interval_s))
    ]
    assert max(later_call_counts) < 2.0 * sum(later_call_counts) / len(later_call_counts)


def count_values_by_quarter(values: tuple[float, ...], low: float, high: float) -> list[int]:
    """Return how many of the values lie in each quarter of a range."""
    return [
        sum(quarter <= (value - low) / (high - low) * 4 < quarter + 1 for value in values)
        for quarter in range(4)
    ]


def test_delays_after_rejection_spread_over_their_whole_range() -> None:
    """The first delay has full jitter; the delay has equal jitter once the backoff is at its maximum."""
    longest_delay_s = MAX_REJECTED_BACKOFF_S
    assert longest_delay_s / 2 < INITIAL_REJECTED_BACKOFF_S < longest_delay_s
    delays = [
        [draw_rejected_backoff_delay(n, rng) for n in (0, 3, 50, 10_000)] for rng in map(Random, range(400))
    ]
    ranges = ((0.0, INITIAL_REJECTED_BACKOFF_S), *[(longest_delay_s / 2, longest_delay_s)] * 3)
    for delays_for_count, (low, high) in zip(zip(*delays, strict=True), ranges, strict=True):
        assert min(delays_for_count) >= low
        assert max(delays_for_count) <= high
        assert (
            min(count_values_by_quarter(delays_for_count, low, high)) > 60
        )  # the mean is 100 in each quarter
    assert max(max(delays_for_count) for delays_for_count in delays) <= longest_delay_s


def test_delays_after_other_failures_stay_within_the_maximum_backoff() -> None:
    longest_delay_s = POLLED_TIMING.max_backoff_s
    delays = [
        draw_jittered_delay(n, longest_delay_s, rng)
        for rng in map(Random, range(400))
        for n in (0, 3, 50, 10_000)
    ]
    assert min(delays) >= 0.0
    assert max(delays) <= longest_delay_s
