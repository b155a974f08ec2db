"""Tests of the candidates: how updates of the endpoint list change them, and the totals over them."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from ingress.interface import Backend, EndpointUpdate, EndpointUpdateKind, Outcome, Readiness, Reject
from tests.support.balancer import MANY_GATEWAYS, UNLIMITED, answer_rounds, backends
from tests.support.gateway import FLEET, Play, sends


def test_subset_is_unchanged_while_the_same_backends_are_ready() -> None:
    fleet = tuple(Backend(f"b{n}") for n in range(40))
    balancer = Play(UNLIMITED, fleet).gateway.balancer
    before = balancer.subset
    balancer.apply_update(EndpointUpdate(EndpointUpdateKind.UPDATE, (Backend("b3", started=5.0),)), 6.0)
    assert balancer.subset is before
    balancer.apply_update(EndpointUpdate(EndpointUpdateKind.REPLACE, fleet[:30]), 7.0)
    assert {b.info.id for b in balancer.subset} <= {b.id for b in fleet[:30]}


def test_zone_that_is_removed_and_added_again_is_used_again() -> None:
    play = Play(MANY_GATEWAYS, backends(3000))
    zone_backends = [b for b in backends(3000) if b.zone == "a"]
    removed_entries = tuple(replace(b, readiness=Readiness.REMOVED) for b in zone_backends)
    play.at(1.0, EndpointUpdate(EndpointUpdateKind.UPDATE, removed_entries))
    assert all(b.info.zone != "a" for b in play.gateway.balancer.candidates)
    assert len(answer_rounds(play, lambda name: False, 50)) == 50
    before = [b.info.id for b in Play(MANY_GATEWAYS, backends(3000)).gateway.balancer.subset]
    play.at(1.0, EndpointUpdate(EndpointUpdateKind.UPDATE, tuple(zone_backends)))
    assert [b.info.id for b in play.gateway.balancer.subset] == before


def test_attempt_at_a_former_candidate_is_removed_when_it_ends() -> None:
    play = Play(MANY_GATEWAYS, backends(400))
    [sent] = sends(play.ask())
    draining = Backend(sent.backend, readiness=Readiness.DRAINING)
    play.at(0.1, EndpointUpdate(EndpointUpdateKind.UPDATE, (draining,)))
    assert sent.backend in play.gateway.balancer.tracked_backends
    play.end(sent)
    assert sent.backend not in play.gateway.balancer.tracked_backends
    assert play.gateway.balancer.load_totals.attempts_out == 0


def test_last_entry_applies_if_an_update_lists_a_backend_twice() -> None:
    play = Play(MANY_GATEWAYS, backends(20))
    removed_entry = Backend("new", readiness=Readiness.REMOVED)
    play.at(0.1, EndpointUpdate(EndpointUpdateKind.UPDATE, (Backend("new"), removed_entry)))
    assert "new" not in play.gateway.balancer.ready_backends
    removed_entry = Backend("b3", readiness=Readiness.REMOVED)
    play.at(0.1, EndpointUpdate(EndpointUpdateKind.UPDATE, (removed_entry, Backend("b3"))))
    assert len(play.gateway.balancer.candidates) == 20


def test_running_totals_equal_the_sums_over_the_candidates() -> None:
    rng = Random(3)
    play = Play(MANY_GATEWAYS, backends(400))
    in_flight = []
    for step in range(600):
        in_flight += sends(play.ask(0.01))
        if len(in_flight) > 20:
            sent = in_flight.pop(rng.randrange(len(in_flight)))
            play.end(sent, rng.choice((Outcome.OK, Outcome.OK, Outcome.TIMEOUT)), 0.01, finished=True)
        if step % 50 == 0:
            leaving = rng.choice(play.gateway.balancer.candidates).info
            removed = replace(leaving, readiness=Readiness.REMOVED)
            play.at(0.0, EndpointUpdate(EndpointUpdateKind.UPDATE, (removed,)))
    balancer = play.gateway.balancer
    assert (
        balancer.load_totals.attempts_out == sum(len(b.attempts_in_flight) for b in balancer.candidates) > 0
    )
    assert balancer.load_totals.limit == pytest.approx(sum(b.limit for b in balancer.candidates))
    counted = play.gateway.overload.counted_attempts.values()
    assert play.gateway.overload.in_flight_weight == pytest.approx(sum(attempt.weight for attempt in counted))


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.REMOVED])
def test_draining_or_removed_backend_gets_no_further_attempt(readiness: Readiness) -> None:
    play = Play()
    leaving = tuple(replace(b, readiness=readiness) for b in FLEET[:3])
    play.at(0.0, EndpointUpdate(EndpointUpdateKind.UPDATE, leaving))
    targets = {s.backend for _ in range(12) for s in sends(play.ask(0.5))}
    assert targets == {"b3"}


def test_complete_list_removes_unlisted_backends_and_adds_listed_ones() -> None:
    play = Play()
    play.at(0.0, EndpointUpdate(EndpointUpdateKind.REPLACE, FLEET[:1]))
    assert {s.backend for _ in range(6) for s in sends(play.ask(0.5))} == {"b0"}
    play.at(0.0, EndpointUpdate(EndpointUpdateKind.REPLACE, FLEET[1:2]))
    assert {s.backend for s in sends(play.ask(0.5))} == {"b1"}


def test_request_is_rejected_at_once_if_there_is_no_backend() -> None:
    play = Play(fleet=())
    assert isinstance(play.ask()[-1], Reject)
