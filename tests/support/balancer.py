"""Helpers for tests of load balancing: settings with an ample quota, backends, and requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ingress.interface import Backend, Outcome
from tests.support.gateway import BASIC_PLAN, SETTINGS, GatewayHarness, find_sent_attempts

UNLIMITED_SETTINGS = replace(SETTINGS, plans=(replace(BASIC_PLAN, rate=1e6, burst=1e6),))
MANY_GATEWAYS_SETTINGS = replace(UNLIMITED_SETTINGS, instance_count=40)
ZONES = "abc"


def make_backends(count: int) -> tuple[Backend, ...]:
    """Return `count` backends named b0, b1, ..., spread over three zones."""
    return tuple(Backend(f"b{n}", zone=ZONES[n % 3]) for n in range(count))


def list_answering_backends(
    harness: GatewayHarness, is_dead: Callable[[str], bool], request_count: int
) -> list[str]:
    """Deliver requests one by one, and return the backends that answered them.

    An attempt on a dead backend fails to connect; the other backends answer.
    """
    answering_backends = []
    for _ in range(request_count):
        attempt_number = 0
        actions = harness.deliver_request(0.05)
        while attempts := find_sent_attempts(actions):
            [attempt] = attempts
            if not is_dead(attempt.backend):
                answering_backends.append(attempt.backend)
                harness.end_attempt(attempt, Outcome.OK, 0.01, attempt_number)
                break
            actions = harness.end_attempt(attempt, Outcome.CONNECT_FAILED, 0.001, attempt_number)
            attempt_number += 1
    return answering_backends


def count_attempts_by_backend(
    harness: GatewayHarness, latency_s: float, request_count: int = 200
) -> dict[str, int]:
    """Deliver requests one by one, answer each after `latency_s`, and count the attempts by backend."""
    counts: dict[str, int] = {}
    for _ in range(request_count):
        for attempt in find_sent_attempts(harness.deliver_request(0.01)):
            counts[attempt.backend] = counts.get(attempt.backend, 0) + 1
            harness.end_attempt(attempt, Outcome.OK, latency_s)
    return counts
