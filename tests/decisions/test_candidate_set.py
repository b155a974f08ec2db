"""Tests of the candidates: how updates of the endpoint list change them, and the totals over them."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from ingress.interface import Backend, EndpointUpdate, EndpointUpdateKind, Outcome, Readiness, Reject
from tests.support.balancer import (
    MANY_GATEWAYS_SETTINGS,
    UNLIMITED_SETTINGS,
    list_answering_backends,
    make_backends,
)
from tests.support.gateway import BACKENDS, GatewayHarness, find_sent_attempts


def test_subset_is_unchanged_while_the_same_backends_are_ready() -> None:
    fleet = tuple(Backend(f"b{n}") for n in range(40))
    balancer = GatewayHarness(UNLIMITED_SETTINGS, fleet).gateway.balancer
    initial_subset = balancer.subset
    balancer.apply_update(EndpointUpdate(EndpointUpdateKind.UPDATE, (Backend("b3", started=5.0),)), 6.0)
    assert balancer.subset is initial_subset
    balancer.apply_update(EndpointUpdate(EndpointUpdateKind.REPLACE, fleet[:30]), 7.0)
    assert {b.entry.id for b in balancer.subset} <= {b.id for b in fleet[:30]}


def test_zone_that_is_removed_and_added_again_is_used_again() -> None:
    harness = GatewayHarness(MANY_GATEWAYS_SETTINGS, make_backends(3000))
    zone_backends = [b for b in make_backends(3000) if b.zone == "a"]
    removed_entries = tuple(replace(b, readiness=Readiness.REMOVED) for b in zone_backends)
    harness.deliver_event(1.0, EndpointUpdate(EndpointUpdateKind.UPDATE, removed_entries))
    assert all(b.entry.zone != "a" for b in harness.gateway.balancer.candidates)
    assert len(list_answering_backends(harness, lambda name: False, 50)) == 50
    initial_ids = [
        b.entry.id
        for b in GatewayHarness(MANY_GATEWAYS_SETTINGS, make_backends(3000)).gateway.balancer.subset
    ]
    harness.deliver_event(1.0, EndpointUpdate(EndpointUpdateKind.UPDATE, tuple(zone_backends)))
    assert [b.entry.id for b in harness.gateway.balancer.subset] == initial_ids


def test_attempt_at_a_former_candidate_is_removed_when_it_ends() -> None:
    harness = GatewayHarness(MANY_GATEWAYS_SETTINGS, make_backends(400))
    [sent] = find_sent_attempts(harness.deliver_request())
    draining = Backend(sent.backend, readiness=Readiness.DRAINING)
    harness.deliver_event(0.1, EndpointUpdate(EndpointUpdateKind.UPDATE, (draining,)))
    assert sent.backend in harness.gateway.balancer.tracked_backends
    harness.end_attempt(sent)
    assert sent.backend not in harness.gateway.balancer.tracked_backends
    assert harness.gateway.balancer.load_totals.attempts_in_flight == 0


def test_last_entry_applies_if_an_update_lists_a_backend_twice() -> None:
    harness = GatewayHarness(MANY_GATEWAYS_SETTINGS, make_backends(20))
    removed_entry = Backend("new", readiness=Readiness.REMOVED)
    harness.deliver_event(0.1, EndpointUpdate(EndpointUpdateKind.UPDATE, (Backend("new"), removed_entry)))
    assert "new" not in harness.gateway.balancer.ready_backends
    removed_entry = Backend("b3", readiness=Readiness.REMOVED)
    harness.deliver_event(0.1, EndpointUpdate(EndpointUpdateKind.UPDATE, (removed_entry, Backend("b3"))))
    assert len(harness.gateway.balancer.candidates) == 20


def test_running_totals_equal_the_sums_over_the_candidates() -> None:
    rng = Random(3)
    harness = GatewayHarness(MANY_GATEWAYS_SETTINGS, make_backends(400))
    in_flight = []
    for step in range(600):
        in_flight += find_sent_attempts(harness.deliver_request(0.01))
        if len(in_flight) > 20:
            sent = in_flight.pop(rng.randrange(len(in_flight)))
            harness.end_attempt(
                sent, rng.choice((Outcome.OK, Outcome.OK, Outcome.TIMEOUT)), 0.01, finished=True
            )
        if step % 50 == 0:
            leaving = rng.choice(harness.gateway.balancer.candidates).entry
            removed = replace(leaving, readiness=Readiness.REMOVED)
            harness.deliver_event(0.0, EndpointUpdate(EndpointUpdateKind.UPDATE, (removed,)))
    balancer = harness.gateway.balancer
    assert (
        balancer.load_totals.attempts_in_flight
        == sum(len(b.attempts_in_flight) for b in balancer.candidates)
        > 0
    )
    assert balancer.load_totals.limit == pytest.approx(sum(b.limit for b in balancer.candidates))
    counted = harness.gateway.overload_detector.counted_attempts.values()
    assert harness.gateway.overload_detector.in_flight_weight == pytest.approx(
        sum(attempt.weight for attempt in counted)
    )


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.REMOVED])
def test_draining_or_removed_backend_gets_no_further_attempt(readiness: Readiness) -> None:
    harness = GatewayHarness()
    leaving = tuple(replace(b, readiness=readiness) for b in BACKENDS[:3])
    harness.deliver_event(0.0, EndpointUpdate(EndpointUpdateKind.UPDATE, leaving))
    attempted_ids = {s.backend for _ in range(12) for s in find_sent_attempts(harness.deliver_request(0.5))}
    assert attempted_ids == {"b3"}


def test_complete_list_removes_unlisted_backends_and_adds_listed_ones() -> None:
    harness = GatewayHarness()
    harness.deliver_event(0.0, EndpointUpdate(EndpointUpdateKind.REPLACE, BACKENDS[:1]))
    assert {s.backend for _ in range(6) for s in find_sent_attempts(harness.deliver_request(0.5))} == {"b0"}
    harness.deliver_event(0.0, EndpointUpdate(EndpointUpdateKind.REPLACE, BACKENDS[1:2]))
    assert {s.backend for s in find_sent_attempts(harness.deliver_request(0.5))} == {"b1"}


def test_request_is_rejected_at_once_if_there_is_no_backend() -> None:
    harness = GatewayHarness(backends=())
    assert isinstance(harness.deliver_request()[-1], Reject)
