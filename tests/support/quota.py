"""Helpers for tests of quotas: settings with a shared counter or with gossip, and bursts of requests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from zlib import crc32

from ingress.decisions.customer import Customer
from ingress.interface import Action, CounterReply, IncrementCounter, Outcome
from tests.support.gateway import SETTINGS, Play, sends

COUNTING = replace(SETTINGS, counter_enabled=True, counter_timeout=0.05)
LARGE_FLEET = replace(COUNTING, instance_count=200)  # slices of a quota are smaller than a request
GOSSIPING = replace(SETTINGS, gossip=True, gossip_receive_rate=100.0)
COUNT_EPOCH_S = 30.0


def count_started_at(epoch_number: int, customer: bytes = b"c") -> float:
    """Return the time in seconds at which the customer's count in the epoch with this number begins.

    Epochs of different customers begin at different times, which depend on a hash of the customer's key.
    """
    return COUNT_EPOCH_S * epoch_number - COUNT_EPOCH_S * (crc32(customer) % 1000 / 1000)


def spend(harness: Play, request_count: int, **changes: object) -> int:
    """Deliver requests at the current time, answer each at once, and return how many were admitted."""
    admitted_count = 0
    for _ in range(request_count):
        attempts = sends(harness.ask(0.0, **changes))
        admitted_count += len(attempts)
        for attempt in attempts:
            harness.end(attempt, Outcome.OK, 0.0)
    return admitted_count


def increments(actions: Iterable[Action]) -> list[IncrementCounter]:
    """Return the calls to the counter among the actions."""
    return [action for action in actions if isinstance(action, IncrementCounter)]


def counter_calls(harness: Play) -> list[IncrementCounter]:
    """Return all calls to the counter so far."""
    return increments(harness.actions)


def customer_of(harness: Play, customer_key: str = "c") -> Customer:
    """Return the gateway's state of a customer."""
    return harness.gateway.admission.customers_by_key[customer_key]


def overload_counter(harness: Play) -> None:
    """Set the gateway's state as if the counter were overloaded: it has just replied, but no request is
    sampled.
    """
    harness.gateway.counter.sampling.rate = 0.0
    harness.gateway.counter.last_reply_at = harness.now


def reply_to_calls(harness: Play, outcome: Outcome, total: float = 0.0) -> int:
    """Reply to the calls to the counter in flight, answer the attempts that follow; return the call count."""
    count_names = list(harness.gateway.counter.calls.in_flight)
    for count_name in count_names:
        for attempt in sends(harness.at(0.0, CounterReply(count_name, outcome, total, 0.001))):
            harness.end(attempt, Outcome.OK, 0.0)
    return len(count_names)
