"""Helpers for tests of the decision module: settings, backends, and a harness that drives a gateway."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from ingress.decisions import Gateway
from ingress.interface import (
    Action,
    AttemptEnded,
    Backend,
    DeduplicationScope,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Fail,
    Idempotency,
    Outcome,
    Plan,
    Reject,
    Request,
    RequestClass,
    SendAttempt,
    Settings,
)

IDEMPOTENT = RequestClass("read", latency_objective=1.0, deadline=4.0)
KEYED = RequestClass(
    "order", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.KEYED, deduplication_window=3.0
)
NOT_IDEMPOTENT = RequestClass(
    "pay", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.NOT_IDEMPOTENT
)
BASIC = Plan("basic", rate=2.0, burst=8.0, over_quota_cost_share=0.5)
SETTINGS = Settings(
    classes=(IDEMPOTENT, KEYED, NOT_IDEMPOTENT),
    plans=(BASIC,),
    instance_count=2,
    slow_start_duration=10.0,
    slow_start_initial_share=0.2,
    overload_factor=2.0,
    overload_window=1.0,
    max_attempts=4,
    drain_grace=1.0,
)
FLEET = tuple(Backend(f"b{n}", zone="ab"[n % 2], cell=n // 2) for n in range(4))


class Play:
    """Harness that drives a gateway under test; it keeps the time and all actions so far."""

    def __init__(self, settings: Settings = SETTINGS, fleet: Iterable[Backend] = FLEET) -> None:
        self.now = 100.0
        self.gateway = Gateway(settings, 1)
        self.count = 0  # requests so far; the id of the last one is `r` and this number
        self.actions: list[Action] = []
        self.at(0.0, EndpointUpdate(EndpointUpdateKind.RESTORED, tuple(fleet)))

    def at(self, delay_s: float, event: Event) -> list[Action]:
        """Advance the time by `delay_s`, deliver an event, and return the actions that it causes."""
        self.now += delay_s
        new_actions = self.gateway.handle(self.now, event)
        self.actions += new_actions
        return new_actions

    def ask(self, delay_s: float = 0.0, **changes: Any) -> list[Action]:
        """Deliver a request after `delay_s`; `changes` override its fields.  Return the actions."""
        self.count += 1
        request = Request(f"r{self.count}", "read", "basic", "c", 4.0, assigned_instances=2)
        return self.at(delay_s, replace(request, **changes))

    def end(
        self,
        sent_attempt: SendAttempt,
        outcome: Outcome = Outcome.OK,
        after: float = 0.05,
        attempt: int = 0,
        **fields: Any,
    ) -> list[Action]:
        """End an attempt after a delay in seconds, which is also its latency; return the actions.

        `fields` are further fields of the event; by default, a successful attempt finishes the request.
        """
        fields.setdefault("finished", outcome is Outcome.OK)
        return self.at(
            after, AttemptEnded(sent_attempt.id, attempt, sent_attempt.backend, outcome, after, **fields)
        )


def sends(actions: Iterable[Action]) -> list[SendAttempt]:
    """Return the attempts that the actions send."""
    return [action for action in actions if isinstance(action, SendAttempt)]


def finals(actions: Iterable[Action]) -> list[Action]:
    """Return the final answers among the actions."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def scoped(deduplication_scope: DeduplicationScope) -> RequestClass:
    """Return the request class with idempotency keys, with the given deduplication scope."""
    return replace(KEYED, deduplication_scope=deduplication_scope)
