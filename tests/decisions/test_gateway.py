"""The dispatch of events to their handlers, and the actions of an event whose handler fails."""

from __future__ import annotations

import pytest

from ingress.decisions.admission import Admission
from ingress.interface import HealthCheckEnded, Outcome, SetTimer, TimerFired
from tests.support.gateway import Play, sends


def test_event_without_a_handler_causes_no_action() -> None:
    assert Play().at(1.0, HealthCheckEnded("b0", Outcome.OK)) == []


def test_actions_decided_before_a_handler_fails_are_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(self: Admission, now: float) -> None:
        raise RuntimeError("on purpose")

    play = Play()
    monkeypatch.setattr(Admission, "evict_idle", raise_error)
    with pytest.raises(RuntimeError, match="on purpose"):
        play.at(100.0, TimerFired(0))
    assert [type(action) for action in play.gateway.actions] == [SetTimer]


def test_actions_of_an_event_are_unchanged_by_the_next_event() -> None:
    play = Play()
    first_actions = play.ask()
    assert len(sends(first_actions)) == 1
    play.ask()
    assert len(first_actions) == 1
