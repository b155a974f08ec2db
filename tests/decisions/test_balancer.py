"""Tests of the choice of backends for attempts.  Each test guards against a failure that has occurred."""

from __future__ import annotations

from dataclasses import replace

from ingress.decisions import Gateway
from ingress.interface import Backend, EndpointUpdate, EndpointUpdateKind, Outcome, Request
from tests.support.balancer import UNLIMITED_SETTINGS, count_attempts_by_backend
from tests.support.gateway import SETTINGS, GatewayHarness, find_sent_attempts


def test_unreachable_backends_stay_ejected_even_if_they_are_the_majority() -> None:
    harness = GatewayHarness(UNLIMITED_SETTINGS)
    count_attempts_by_backend(harness, 0.05)
    for backend in list(harness.gateway.balancer.tracked_backends.values())[:3]:
        backend.record_failure(harness.now, Outcome.CONNECT_FAILED, 1.0)
    assert set(count_attempts_by_backend(harness, 0.001, 20)) == {"b3"}


def test_all_backends_stay_in_use_if_all_return_errors() -> None:
    harness = GatewayHarness(UNLIMITED_SETTINGS)
    count_attempts_by_backend(harness, 0.05)
    for backend in harness.gateway.balancer.tracked_backends.values():
        for _ in range(3):
            backend.record_failure(harness.now, Outcome.ERROR, 1.0)
    assert len(count_attempts_by_backend(harness, 0.05, 20)) > 1


def test_silent_backend_gets_no_new_attempts() -> None:
    harness = GatewayHarness(UNLIMITED_SETTINGS)
    count_attempts_by_backend(harness, 0.05)
    silent = find_sent_attempts(harness.deliver_request(0.0))[0].backend
    harness.now += 0.5
    assert silent not in count_attempts_by_backend(harness, 0.01, 40)


def test_slow_backend_gets_fewer_requests() -> None:
    harness = GatewayHarness(UNLIMITED_SETTINGS)
    sent_counts: dict[str, int] = {}
    for _ in range(300):
        for attempt in find_sent_attempts(harness.deliver_request(0.02)):
            sent_counts[attempt.backend] = sent_counts.get(attempt.backend, 0) + 1
            harness.end_attempt(attempt, Outcome.OK, 0.3 if attempt.backend == "b1" else 0.05)
    assert sent_counts["b1"] < min(sent_counts[b] for b in ("b0", "b2", "b3")) / 2


def test_idle_backends_are_chosen_in_proportion_to_their_weights() -> None:
    fleet = [Backend(f"b{n}", weight=2.0 if n < 10 else 1.0) for n in range(40)]
    chosen_numbers = []
    for seed in range(400):
        gateway = Gateway(replace(SETTINGS, instance_count=400, instance_index=seed), seed)
        gateway.handle(1.0, EndpointUpdate(EndpointUpdateKind.RESTORED, tuple(fleet)))
        actions = gateway.handle(1.1, Request("r", "read", "basic", "c", 4.0))
        chosen_numbers += [int(s.backend[1:]) for s in find_sent_attempts(actions)]
    assert len(set(chosen_numbers)) == len(fleet)
    # The ten heavy backends have a weight of 20 of 50.
    assert 0.3 < sum(n < 10 for n in chosen_numbers) / len(chosen_numbers) < 0.5


def test_backend_of_another_zone_is_used_if_the_own_zone_has_none() -> None:
    harness = GatewayHarness(replace(UNLIMITED_SETTINGS, zone="c"), backends=(Backend("x", "a"),))
    assert find_sent_attempts(harness.deliver_request())


def test_backends_are_used_if_all_weights_are_zero() -> None:
    harness = GatewayHarness(
        backends=(Backend("cold", started=100.0, weight=0.0), Backend("warm", weight=0.0))
    )
    for _ in range(10):
        for attempt in find_sent_attempts(harness.deliver_request(1.0)):
            harness.end_attempt(attempt, Outcome.OK, 0.01)
    assert {attempt.backend for attempt in find_sent_attempts(harness.actions)} == {"cold", "warm"}
