"""Helpers for tests of quotas: settings with a shared counter or with gossip, and bursts of requests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from zlib import crc32

from ingress.decisions.customer import Customer
from ingress.interface import Action, CounterReply, IncrementCounter, Outcome
from tests.support.gateway import SETTINGS, GatewayHarness, find_sent_attempts

COUNTER_SETTINGS = replace(SETTINGS, counter_enabled=True, counter_timeout=0.05)
LARGE_FLEET_SETTINGS = replace(
    COUNTER_SETTINGS, instance_count=200
)  # slices of a quota are smaller than a request
GOSSIP_SETTINGS = replace(SETTINGS, gossip=True, gossip_receive_rate=100.0)
COUNT_EPOCH_S = 30.0


def get_count_start_time(epoch_number: int, customer: bytes = b"c") -> float:
    """Return the time in seconds at which the customer's count in the epoch with this number begins.

    Epochs of different customers begin at different times, which depend on a hash of the customer's key.
    """
    return COUNT_EPOCH_S * epoch_number - COUNT_EPOCH_S * (crc32(customer) % 1000 / 1000)


def deliver_requests(harness: GatewayHarness, request_count: int, **changes: object) -> int:
    """Deliver requests at the current time, answer each immediately, and return how many were admitted."""
    admitted_count = 0
    for _ in range(request_count):
        attempts = find_sent_attempts(harness.deliver_request(0.0, **changes))
        admitted_count += len(attempts)
        for attempt in attempts:
            harness.end_attempt(attempt, Outcome.OK, 0.0)
    return admitted_count


def find_counter_calls(actions: Iterable[Action]) -> list[IncrementCounter]:
    """Return the calls to the counter among the actions."""
    return [action for action in actions if isinstance(action, IncrementCounter)]


def list_counter_calls(harness: GatewayHarness) -> list[IncrementCounter]:
    """Return all calls to the counter so far."""
    return find_counter_calls(harness.actions)


def get_customer(harness: GatewayHarness, customer_key: str = "c") -> Customer:
    """Return the gateway's state of a customer."""
    return harness.gateway.admission.customers.by_key[customer_key]


def mark_counter_overloaded(harness: GatewayHarness) -> None:
    """Set the gateway's state as if the counter were overloaded.

    The counter has just replied successfully, and no request is sampled.
    """
    harness.gateway.counter.sampling.rate = 0.0
    harness.gateway.counter.last_success_at = harness.now


def reply_to_counter_calls(harness: GatewayHarness, outcome: Outcome, total: float = 0.0) -> int:
    """Reply to the counter calls in flight, and answer the attempts sent then; return the call count."""
    called_names = list(harness.gateway.counter.calls.in_flight)
    for called_name in called_names:
        for attempt in find_sent_attempts(
            harness.deliver_event(0.0, CounterReply(called_name, outcome, total, 0.001))
        ):
            harness.end_attempt(attempt, Outcome.OK, 0.0)
    return len(called_names)
