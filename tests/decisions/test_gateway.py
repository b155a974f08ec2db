"""The dispatch of events to their handlers, and the actions of an event whose handler fails."""

from __future__ import annotations

import pytest

from ingress.decisions.admission import Admission
from ingress.interface import HealthCheckEnded, Outcome, SetTimer, TimerFired
from tests.support.gateway import GatewayHarness, find_sent_attempts


def test_event_without_a_handler_causes_no_action() -> None:
    assert GatewayHarness().deliver_event(1.0, HealthCheckEnded("b0", Outcome.OK)) == []


def test_actions_decided_before_a_handler_fails_are_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(self: Admission, now: float) -> None:
        raise RuntimeError("on purpose")

    harness = GatewayHarness()
    monkeypatch.setattr(Admission, "evict_idle", raise_error)
    with pytest.raises(RuntimeError, match="on purpose"):
        harness.deliver_event(100.0, TimerFired(0))
    assert [type(action) for action in harness.gateway.actions] == [SetTimer]


def test_actions_of_an_event_are_unchanged_by_the_next_event() -> None:
    harness = GatewayHarness()
    first_actions = harness.deliver_request()
    assert len(find_sent_attempts(first_actions)) == 1
    harness.deliver_request()
    assert len(first_actions) == 1
