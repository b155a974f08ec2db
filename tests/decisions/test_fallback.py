"""Tests of which backends the balancer uses if the subset, the reserve or a zone is down or overloaded."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count as count_from
from random import Random

import pytest

from ingress.decisions import Gateway
from ingress.decisions.subset import RESERVE_SIZE
from ingress.interface import (
    AttemptEnded,
    Backend,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Outcome,
    Request,
    SendAttempt,
)
from tests.support.balancer import (
    MANY_GATEWAYS_SETTINGS,
    UNLIMITED_SETTINGS,
    list_answering_backends,
    make_backends,
)
from tests.support.gateway import GatewayHarness, find_sent_attempts


def test_other_backends_are_used_if_the_subset_is_ejected() -> None:
    harness = GatewayHarness(
        replace(UNLIMITED_SETTINGS, instance_count=20), (Backend(f"b{n}") for n in range(40))
    )
    subset = list(harness.gateway.balancer.subset)
    for backend in subset:
        backend.record_failure(harness.now, Outcome.CONNECT_FAILED, 60.0)
        backend.attempts_in_flight["other", 0] = harness.now  # the single attempt that may probe the backend
    sent = find_sent_attempts(harness.deliver_request(0.01))
    assert sent
    assert sent[0].backend not in {b.entry.id for b in subset}


@pytest.mark.parametrize("backend_count", [60, 300, 3000])
def test_requests_are_served_by_others_if_the_whole_subset_is_down(backend_count: int) -> None:
    harness = GatewayHarness(MANY_GATEWAYS_SETTINGS, make_backends(backend_count))
    assert len(list_answering_backends(harness, lambda name: False, 60)) == 60
    lost_ids = {b.entry.id for b in harness.gateway.balancer.subset}
    harness.gateway.retry_policy.budget.level = 10.0
    answered = list_answering_backends(harness, lost_ids.__contains__, 100)
    assert len(answered) >= 98  # only the first requests may run out of attempts
    assert len(set(answered)) > 10


def test_requests_are_served_by_others_if_subset_and_reserve_are_down() -> None:
    harness = GatewayHarness(replace(MANY_GATEWAYS_SETTINGS, max_attempts=30), make_backends(3000))
    list_answering_backends(harness, lambda name: False, 60)
    lost_ids = {b.entry.id for b in harness.gateway.balancer.candidates}
    assert len(lost_ids) == len(harness.gateway.balancer.subset) + RESERVE_SIZE
    for backend in harness.gateway.balancer.candidates:
        backend.record_failure(harness.now, Outcome.CONNECT_FAILED, 60.0)
    answered = list_answering_backends(harness, lost_ids.__contains__, 60)
    assert len(answered) == 60
    # Backends that are not candidates are no longer tracked after their attempts have ended.
    assert len(harness.gateway.balancer.tracked_backends) == len(lost_ids)


@pytest.mark.parametrize("backend_count", [60, 300, 3000])
def test_requests_are_served_by_other_zones_if_one_zone_is_down(backend_count: int) -> None:
    harness = GatewayHarness(MANY_GATEWAYS_SETTINGS, make_backends(backend_count))
    list_answering_backends(harness, lambda name: False, 60)
    answered = list_answering_backends(harness, lambda name: int(name[1:]) % 3 == 0, 200)
    assert len(answered) >= 198
    assert {int(name[1:]) % 3 for name in answered} == {1, 2}


class SilentBackendsScenario:
    """A gateway in simulated time; some backends stop answering but remain ready in the endpoint list.

    Requests arrive in a Poisson process, and backends answer after MEAN_LATENCY_S on average.
    """

    START_S = 100.0  # time from which requests arrive
    SILENT_FROM_S = 110.0  # time from which the silent backends do not answer
    REQUESTS_END_S = 114.0  # time until which requests arrive
    END_S = 120.0  # time from which events are ignored
    MEAN_LATENCY_S = 0.15

    def __init__(self, gateway_count: int, backend_count: int, requests_per_s: float, seed: int) -> None:
        self.rng = Random(seed)
        self.requests_per_s = requests_per_s
        self.gateway = Gateway(replace(MANY_GATEWAYS_SETTINGS, instance_count=gateway_count), seed)
        self.gateway.handle(
            self.START_S, EndpointUpdate(EndpointUpdateKind.RESTORED, make_backends(backend_count))
        )
        self.events: list[tuple[float, int, Event]] = []
        self.sequence_numbers = count_from(0)
        self.request_count = 0  # since SILENT_FROM_S
        self.answered_count = 0  # of these requests
        self.attempt_counts: dict[str, int] = {}  # of each of these requests, by request id

    def run(self, select_silent: Callable[[Gateway], set[str]]) -> float:
        """Return the answered share of the requests since SILENT_FROM_S.

        `select_silent` returns the ids of the backends that stop answering.
        """
        self._schedule_requests()
        silent_ids: set[str] = set()
        while self.events and self.events[0][0] < self.END_S:
            at, _, event = heappop(self.events)
            if at >= self.SILENT_FROM_S and not silent_ids:
                silent_ids = select_silent(self.gateway)
            self._count_event(at, event)
            for sent in find_sent_attempts(self.gateway.handle(at, event)):
                self._schedule_answer(at, sent, silent_ids if at >= self.SILENT_FROM_S else set())
        return self.answered_count / self.request_count

    def _schedule_requests(self) -> None:
        now = self.START_S
        while now < self.REQUESTS_END_S:
            now += self.rng.expovariate(self.requests_per_s)
            number = next(self.sequence_numbers)
            customer = f"c{number % 300}"
            self._push(now, Request(f"r{number}", "read", "basic", customer, 4.0, assigned_instances=3))

    def _push(self, at: float, event: Event) -> None:
        heappush(self.events, (at, next(self.sequence_numbers), event))

    def _count_event(self, at: float, event: Event) -> None:
        if isinstance(event, Request) and at >= self.SILENT_FROM_S:
            self.request_count += 1
            self.attempt_counts[event.id] = 0
        elif isinstance(event, AttemptEnded) and event.id in self.attempt_counts:
            self.answered_count += event.outcome is Outcome.OK

    def _schedule_answer(self, at: float, sent: SendAttempt, silent_ids: set[str]) -> None:
        number = self.attempt_counts.get(sent.id, 0)
        if sent.id in self.attempt_counts:
            self.attempt_counts[sent.id] = number + 1
        is_silent = sent.backend in silent_ids
        latency = sent.timeout if is_silent else self.rng.gammavariate(4.0, self.MEAN_LATENCY_S / 4)
        outcome = Outcome.TIMEOUT if is_silent else Outcome.OK
        ended = AttemptEnded(sent.id, number, sent.backend, outcome, latency, not is_silent)
        self._push(at + latency, ended)


def select_subset(gateway: Gateway) -> set[str]:
    return {backend.entry.id for backend in gateway.balancer.subset}


def select_zone_a(gateway: Gateway) -> set[str]:
    return {name for name, entry in gateway.balancer.ready_backends.items() if entry.zone == "a"}


@pytest.mark.parametrize(
    ("gateway_count", "backend_count", "requests_per_s", "min_share"),
    [(3400, 2000, 200.0, 0.85), (200, 200, 20.0, 0.2)],
)
def test_requests_are_served_by_others_if_the_whole_subset_stops_answering(
    gateway_count: int, backend_count: int, requests_per_s: float, min_share: float
) -> None:
    """Guard against mistaking attempts without an answer for an overload.

    At 20 requests per second, this mistake led to seconds in which all requests were rejected.
    """
    answered_shares = [
        SilentBackendsScenario(gateway_count, backend_count, requests_per_s, seed).run(select_subset)
        for seed in (1, 2)
    ]
    assert min(answered_shares) >= min_share


@pytest.mark.parametrize(
    ("gateway_count", "backend_count", "requests_per_s", "min_share"),
    [(3400, 2000, 200.0, 0.95), (200, 200, 20.0, 0.7)],
)
def test_requests_are_served_by_other_zones_if_one_zone_stops_answering(
    gateway_count: int, backend_count: int, requests_per_s: float, min_share: float
) -> None:
    answered_shares = [
        SilentBackendsScenario(gateway_count, backend_count, requests_per_s, seed).run(select_zone_a)
        for seed in (1, 2)
    ]
    assert min(answered_shares) >= min_share


def test_overload_sends_one_exploratory_attempt_at_a_time_to_the_reserve() -> None:
    harness = GatewayHarness(replace(MANY_GATEWAYS_SETTINGS, instance_count=300), make_backends(80))
    harness.deliver_request()
    harness.gateway.overload_detector.mean_in_flight_weight = 1e3
    assert len(find_sent_attempts(harness.deliver_request())) == 1
    [exploratory] = [
        attempt
        for key, attempt in harness.gateway.attempt_tracker.in_flight.items()
        if key == harness.gateway.overload_detector.exploratory_attempt
    ]
    backend = exploratory.sent_attempt.backend
    assert backend not in harness.gateway.balancer.subset
    # Until the exploratory attempt is answered, the overload may extend beyond the subset.
    assert not any(find_sent_attempts(harness.deliver_request(0.01)) for _ in range(10))
    harness.deliver_event(
        0.0, AttemptEnded(exploratory.request.id, 0, backend.entry.id, Outcome.OK, 0.1, True)
    )
    assert find_sent_attempts(harness.deliver_request(0.01))
