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

IDEMPOTENT_CLASS = RequestClass("read", latency_objective=1.0, deadline=4.0)
KEYED_CLASS = RequestClass(
    "order", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.KEYED, deduplication_window=3.0
)
NOT_IDEMPOTENT_CLASS = RequestClass(
    "pay", latency_objective=1.0, deadline=4.0, idempotency=Idempotency.NOT_IDEMPOTENT
)
BASIC_PLAN = Plan("basic", rate=2.0, burst=8.0, over_quota_cost_share=0.5)
SETTINGS = Settings(
    classes=(IDEMPOTENT_CLASS, KEYED_CLASS, NOT_IDEMPOTENT_CLASS),
    plans=(BASIC_PLAN,),
    instance_count=2,
    slow_start_duration=10.0,
    slow_start_initial_share=0.2,
    overload_factor=2.0,
    overload_window=1.0,
    max_attempts=4,
    drain_grace=1.0,
)
BACKENDS = tuple(Backend(f"b{n}", zone="ab"[n % 2], cell=n // 2) for n in range(4))


class GatewayHarness:
    """Harness that drives a gateway under test, and records the time and all actions so far."""

    def __init__(
        self,
        settings: Settings = SETTINGS,
        backends: Iterable[Backend] = BACKENDS,
        max_customers: int | None = None,
    ) -> None:
        self.now = 100.0
        self.gateway = Gateway(settings, 1, max_customers)
        self.request_count = 0  # requests so far; the id of the latest is `r` followed by this number
        self.actions: list[Action] = []
        self.deliver_event(0.0, EndpointUpdate(EndpointUpdateKind.RESTORED, tuple(backends)))

    def deliver_event(self, delay_s: float, event: Event) -> list[Action]:
        """Advance the time by `delay_s`, deliver an event, and return the actions that it causes."""
        self.now += delay_s
        new_actions = self.gateway.handle(self.now, event)
        self.actions += new_actions
        return new_actions

    def deliver_request(self, delay_s: float = 0.0, **changes: Any) -> list[Action]:
        """Deliver a request after `delay_s`; `changes` override its fields.  Return the actions."""
        self.request_count += 1
        request = Request(f"r{self.request_count}", "read", "basic", "c", 4.0, assigned_instances=2)
        return self.deliver_event(delay_s, replace(request, **changes))

    def end_attempt(
        self,
        sent_attempt: SendAttempt,
        outcome: Outcome = Outcome.OK,
        delay_s: float = 0.05,
        attempt_number: int = 0,
        **fields: Any,
    ) -> list[Action]:
        """End an attempt after a delay in seconds, which is also its latency; return the actions.

        `fields` are further fields of the event; by default, a successful attempt finishes the request.
        """
        fields.setdefault("finished", outcome is Outcome.OK)
        return self.deliver_event(
            delay_s,
            AttemptEnded(sent_attempt.id, attempt_number, sent_attempt.backend, outcome, delay_s, **fields),
        )


def find_sent_attempts(actions: Iterable[Action]) -> list[SendAttempt]:
    """Return the attempts that the actions send."""
    return [action for action in actions if isinstance(action, SendAttempt)]


def find_final_answers(actions: Iterable[Action]) -> list[Action]:
    """Return the final answers among the actions."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def make_keyed_class(deduplication_scope: DeduplicationScope) -> RequestClass:
    """Return the request class with idempotency keys, with the given deduplication scope."""
    return replace(KEYED_CLASS, deduplication_scope=deduplication_scope)
