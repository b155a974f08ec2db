"""Tests of the choice of backends for attempts.  Each test guards against a failure that has occurred."""

from __future__ import annotations

from dataclasses import replace

from ingress.decisions import Gateway
from ingress.interface import Backend, EndpointUpdate, EndpointUpdateKind, Outcome, Request
from tests.support.balancer import UNLIMITED, answer_all
from tests.support.gateway import SETTINGS, Play, sends


def test_unreachable_backends_stay_ejected_even_if_they_are_the_majority() -> None:
    play = Play(UNLIMITED)
    answer_all(play, 0.05)
    for backend in list(play.gateway.balancer.tracked_backends.values())[:3]:
        backend.record_failure(play.now, Outcome.CONNECT_FAILED, 1.0)
    assert set(answer_all(play, 0.001, 20)) == {"b3"}


def test_all_backends_stay_in_use_if_all_return_errors() -> None:
    play = Play(UNLIMITED)
    answer_all(play, 0.05)
    for backend in play.gateway.balancer.tracked_backends.values():
        for _ in range(3):
            backend.record_failure(play.now, Outcome.ERROR, 1.0)
    assert len(answer_all(play, 0.05, 20)) > 1


def test_silent_backend_gets_no_new_attempts() -> None:
    play = Play(UNLIMITED)
    answer_all(play, 0.05)
    silent = sends(play.ask(0.0))[0].backend
    play.now += 0.5
    assert silent not in answer_all(play, 0.01, 40)


def test_slow_backend_gets_fewer_requests() -> None:
    play = Play(UNLIMITED)
    sent_counts: dict[str, int] = {}
    for _ in range(300):
        for attempt in sends(play.ask(0.02)):
            sent_counts[attempt.backend] = sent_counts.get(attempt.backend, 0) + 1
            play.end(attempt, Outcome.OK, 0.3 if attempt.backend == "b1" else 0.05)
    assert sent_counts["b1"] < min(sent_counts[b] for b in ("b0", "b2", "b3")) / 2


def test_idle_backends_are_chosen_in_proportion_to_their_weights() -> None:
    fleet = [Backend(f"b{n}", weight=2.0 if n < 10 else 1.0) for n in range(40)]
    chosen_numbers = []
    for seed in range(400):
        gateway = Gateway(replace(SETTINGS, instance_count=400, instance_index=seed), seed)
        gateway.handle(1.0, EndpointUpdate(EndpointUpdateKind.RESTORED, tuple(fleet)))
        actions = gateway.handle(1.1, Request("r", "read", "basic", "c", 4.0))
        chosen_numbers += [int(s.backend[1:]) for s in sends(actions)]
    assert len(set(chosen_numbers)) == len(fleet)
    # The ten heavy backends have a weight of 20 of 50.
    assert 0.3 < sum(n < 10 for n in chosen_numbers) / len(chosen_numbers) < 0.5


def test_backend_of_another_zone_is_used_if_the_own_zone_has_none() -> None:
    play = Play(replace(UNLIMITED, zone="c"), fleet=(Backend("x", "a"),))
    assert sends(play.ask())


def test_backends_are_used_if_all_weights_are_zero() -> None:
    play = Play(fleet=(Backend("cold", started=100.0, weight=0.0), Backend("warm", weight=0.0)))
    for _ in range(10):
        for attempt in sends(play.ask(1.0)):
            play.end(attempt, Outcome.OK, 0.01)
    assert {attempt.backend for attempt in sends(play.actions)} == {"cold", "warm"}
