"""Tests of slow start: the answer rate, the rate of warm backends, and the budgets derived from them."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from ingress.decisions import Gateway
from ingress.decisions.candidate_set import CandidateSet
from ingress.decisions.request import PendingRequest
from ingress.decisions.slow_start import MIN_BUDGET_IN_WINDOW, SAFE_LOAD_SHARE, SlowStart
from ingress.interface import AttemptEnded, Backend, EndpointUpdate, EndpointUpdateKind, Outcome, Request
from tests.support.gateway import (
    BACKENDS,
    BASIC_PLAN,
    IDEMPOTENT_CLASS,
    SETTINGS,
    GatewayHarness,
    find_sent_attempts,
)

NOW = 100.0
SINGLE_GATEWAY_SETTINGS = replace(SETTINGS, instance_count=1, slow_start_duration=8.0)


def create_slow_start(*backends: Backend) -> SlowStart:
    """Return the slow start of the only gateway of its fleet, which has all backends in its subset."""
    candidate_set = CandidateSet(SINGLE_GATEWAY_SETTINGS, Random(1))
    candidate_set.apply_update(EndpointUpdate(EndpointUpdateKind.RESTORED, backends), NOW)
    return SlowStart(SINGLE_GATEWAY_SETTINGS, candidate_set)


def test_answer_rate_converges_and_falls_after_a_pause() -> None:
    slow_start = create_slow_start(Backend("warm"))
    for number in range(200):  # 10 per second
        slow_start.record_answer(NOW + number / 10)
    assert slow_start.answer_rate == pytest.approx(10.0, rel=0.05)
    slow_start.record_answer(NOW + 60.0)
    assert slow_start.answer_rate == pytest.approx(0.5)  # one answer in a window of 2 s


def test_budget_is_proportional_to_warm_rate_weight_and_capacity_share() -> None:
    slow_start = create_slow_start(
        Backend("warm"), Backend("warm2"), Backend("cold", weight=2.0, started=NOW)
    )
    slow_start.answer_rate = 10.0
    cold = slow_start.candidate_set.tracked_backends["cold"]
    slow_start.allows_request(cold, NOW + 4.0, 1.0)
    warm_rate = 10.0 / (2.0 * 3 / 3) * 2.0
    capacity_share = 0.2 + 0.8 * 4.0 / 8.0
    expected = SAFE_LOAD_SHARE * SINGLE_GATEWAY_SETTINGS.overload_factor * capacity_share * warm_rate
    assert cold.slow_start_budget.rate == pytest.approx(expected)


def test_warm_rate_is_not_measured_while_most_backends_warm_up() -> None:
    slow_start = create_slow_start(Backend("warm"), *(Backend(f"cold{n}", started=NOW) for n in range(2)))
    slow_start.answer_rate = 10.0
    slow_start.warm_rate_per_weight = 3.0
    slow_start.allows_request(slow_start.candidate_set.tracked_backends["cold0"], NOW + 1.0, 1.0)
    assert slow_start.warm_rate_per_weight == 3.0


def test_new_backend_gets_the_minimum_budget_without_a_warm_rate() -> None:
    slow_start = create_slow_start(Backend("warm"), Backend("cold", started=NOW))
    cold = slow_start.candidate_set.tracked_backends["cold"]
    cold.slow_start_budget.level = 0.0
    assert not slow_start.allows_request(cold, NOW, 1.0)
    assert cold.slow_start_budget.rate == MIN_BUDGET_IN_WINDOW / SINGLE_GATEWAY_SETTINGS.overload_window
    assert slow_start.allows_request(cold, NOW + 3.0, 1.0)


def test_attempts_in_flight_are_limited_to_the_budget_of_one_second() -> None:
    slow_start = create_slow_start(Backend("warm"), Backend("cold", started=NOW))
    cold = slow_start.candidate_set.tracked_backends["cold"]
    cold.slow_start_budget.level = 1.0
    slow_start.candidate_set.add_attempt(cold, ("r", 0), NOW)
    assert not slow_start.allows_request(cold, NOW, 1.0)
    slow_start.candidate_set.remove_attempt(cold, ("r", 0))
    assert slow_start.allows_request(cold, NOW, 1.0)


def record_sends_to_cold(harness: GatewayHarness, seconds: float, interval: float) -> list[float]:
    """Send a request every `interval` s; return the times of the attempts at the backend "cold"."""
    send_times = []
    while seconds > 0:
        for sent in find_sent_attempts(
            harness.deliver_request(interval, customer=f"c{harness.request_count % 200}")
        ):
            if sent.backend == "cold":
                send_times.append(harness.now)
            harness.end_attempt(sent, Outcome.OK, 0.001)
        seconds -= interval
    return send_times


def test_new_backend_gets_its_initial_share_of_the_load_of_a_warm_one() -> None:
    harness = GatewayHarness()
    record_sends_to_cold(harness, 30.0, 0.05)
    warm_rate = 20.0 / len(BACKENDS)
    harness.deliver_event(
        0.0, EndpointUpdate(EndpointUpdateKind.UPDATE, (Backend("cold", "a", started=harness.now),))
    )
    first_send_times = record_sends_to_cold(harness, SETTINGS.overload_window * 2, 0.05)
    # The initial share of a warm backend's load, plus 0.16 by which it grows during the two windows.
    max_sends = (
        warm_rate
        * (SETTINGS.slow_start_initial_share + 0.16)
        * SETTINGS.overload_factor
        * SETTINGS.overload_window
        * 2
    )
    assert 0 < len(first_send_times) <= max_sends + 1


def test_new_gateway_sends_few_requests_while_all_backends_warm_up() -> None:
    harness = GatewayHarness(backends=(Backend("cold", "a", started=100.0),))
    send_times = record_sends_to_cold(harness, 6.0, 0.02)
    assert 1 <= len(send_times) <= 6 * SETTINGS.overload_factor * SETTINGS.slow_start_initial_share


def test_hundreds_of_gateways_do_not_overload_a_new_backend() -> None:
    settings = replace(
        SETTINGS,
        instance_count=200,
        slow_start_duration=10.0,
        plans=(replace(BASIC_PLAN, rate=1e4, burst=1e5),),
    )
    fleet = tuple(Backend(f"b{n}") for n in range(20))
    send_times: list[float] = []
    interval = 0.5  # s between two requests of a gateway: 400 per second in all, 20 per warm backend
    for gateway_index in range(200):
        gateway, now = (
            Gateway(replace(settings, instance_index=gateway_index), gateway_index),
            100.0 + gateway_index / 200 * interval,
        )
        gateway.handle(now, EndpointUpdate(EndpointUpdateKind.RESTORED, fleet))
        for n in range(70):
            now += interval
            if n == 50:
                gateway.handle(
                    now, EndpointUpdate(EndpointUpdateKind.UPDATE, (Backend("cold", started=now),))
                )
            for sent in find_sent_attempts(gateway.handle(now, Request(f"r{n}", "read", "basic", "c", 4.0))):
                send_times += [now] if sent.backend == "cold" else []
                gateway.handle(now + 0.1, AttemptEnded(sent.id, 0, sent.backend, Outcome.OK, 0.1, True))
    first_send_at = min(send_times)
    for second in range(8):
        sent_count = sum(first_send_at + second <= t < first_send_at + second + 1 for t in send_times)
        capacity_share = (
            SETTINGS.slow_start_initial_share + (1 - SETTINGS.slow_start_initial_share) * second / 10
        )
        assert (
            0 < sent_count < 20 * SETTINGS.overload_factor * capacity_share * SETTINGS.overload_window * 1.1
        )


def test_budget_is_divided_among_the_gateways_with_the_backend_in_their_subset() -> None:
    """Guard against dividing the budget among all gateways instead of those that send to the backend.

    In this fleet only a sixth of the gateways have the backend in their subset, so five sixths of the budget
    would remain unused.
    """
    settings = replace(SETTINGS, instance_count=40, slow_start_duration=10.0)
    fleet = (*(Backend(f"b{n}") for n in range(59)), Backend("cold", started=100.0))
    rates, gateway_counts = [], set[int]()
    for gateway_index in range(40):
        harness = GatewayHarness(replace(settings, instance_index=gateway_index), fleet)
        [cold] = [b for b in harness.gateway.balancer.candidates if b.entry.id == "cold"]
        harness.deliver_request()
        harness.gateway.balancer.slow_start.answer_rate = 6.0
        harness.gateway.answer_times.mean_request_units = 1.0
        customer = harness.gateway.admission.customers.by_key["c"]
        request = PendingRequest(
            Request("r", "read", "basic", "c", 4.0), IDEMPOTENT_CLASS, customer, harness.now
        )
        harness.gateway.balancer.slow_start_allows(cold, harness.now, request)
        rates += [cold.slow_start_budget.rate] if cold in harness.gateway.balancer.subset else []
        gateway_counts.add(harness.gateway.balancer.subsetting.count_gateways_preferring("cold"))
    warm_rate = 40 * 6.0 / 59  # answers per second of each warm backend to all gateways
    assert gateway_counts == {len(rates)}
    assert 4 < len(rates) < 16
    assert sum(rates) == pytest.approx(
        0.7 * settings.overload_factor * settings.slow_start_initial_share * warm_rate
    )


def test_new_backend_outside_the_subset_gets_no_requests() -> None:
    fleet = (*(Backend(f"b{n}") for n in range(59)), Backend("cold", started=100.0))
    for gateway_index in range(12):
        harness = GatewayHarness(replace(SETTINGS, instance_count=40, instance_index=gateway_index), fleet)
        is_preferred = "cold" in {b.entry.id for b in harness.gateway.balancer.subset}
        [cold] = [b for b in harness.gateway.balancer.candidates if b.entry.id == "cold"]
        cold.slow_start_budget.level = 1.0
        for backend in harness.gateway.balancer.candidates:
            backend.set_limit(0.0 if backend is not cold else 1.0)  # no other backend has room
        assert bool(find_sent_attempts(harness.deliver_request())) is is_preferred
