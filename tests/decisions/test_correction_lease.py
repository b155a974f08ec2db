"""Corrections of a count, which need a lease: of all gateways that see a total, only one corrects it."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest

from ingress.interface import Action, CounterReply, IncrementCounter, Outcome, Settings
from tests.support.gateway import BASIC_PLAN, GatewayHarness, find_sent_attempts
from tests.support.quota import (
    COUNTER_SETTINGS,
    LARGE_FLEET_SETTINGS,
    find_counter_calls,
    get_count_start_time,
    get_customer,
)

GATEWAYS = 40
FLEET_SETTINGS = replace(COUNTER_SETTINGS, instance_count=GATEWAYS)
ONE_WAY_S = 0.005  # latency from a gateway to the counter, or back
COUNT_STARTED_AT = get_count_start_time(4)


@dataclass
class CounterEntry:
    """What the shared counter stores under one name."""

    expires_at: float
    """Time in seconds at which the entry is dropped."""
    total: float = 0.0


class SharedCounter:
    """A shared counter that executes calls in the order of arrival and drops entries after their lifetime."""

    def __init__(self) -> None:
        self.entries: dict[int, CounterEntry] = {}

    def add(self, now: float, call: IncrementCounter) -> float:
        entry = self.entries.get(call.name)
        if entry is None or now >= entry.expires_at:
            entry = CounterEntry(now + call.lifetime)
            self.entries[call.name] = entry
        entry.total += call.add
        return entry.total

    def total(self, name: int) -> float:
        return self.entries[name].total


@dataclass
class CallInFlight:
    """A call on its way to the shared counter."""

    arrives_at: float
    """Time in seconds when the call arrives at the counter."""
    harness: GatewayHarness
    """The gateway that sent the call."""
    call: IncrementCounter


class FleetWithCounter:
    """Gateways that share one counter; a reply takes a round trip and may cause another call."""

    def __init__(self, settings: Settings = FLEET_SETTINGS, start: float = COUNT_STARTED_AT) -> None:
        self.now = start
        self.counter = SharedCounter()
        self.harnesses = [
            GatewayHarness(replace(settings, instance_index=index))
            for index in range(settings.instance_count)
        ]
        self.in_flight: list[CallInFlight] = []
        self.count_name = 0  # name of the customer's count
        self.sent_count = 0  # number of attempts sent
        for harness in self.harnesses:
            harness.now = start
            harness.gateway.counter.sampling.rate = 1.0

    def send_request(self, index: int, units: float = 1.0) -> None:
        """Deliver a request to the gateway with this index and process the resulting actions."""
        harness = self.harnesses[index]
        harness.now = max(harness.now, self.now)
        self._process_actions(harness, harness.deliver_request(units=units, assigned_instances=GATEWAYS))

    def _process_actions(self, harness: GatewayHarness, actions: list[Action]) -> None:
        for attempt in find_sent_attempts(actions):
            self.sent_count += 1
            harness.end_attempt(attempt, delay_s=0.0)
        for call in find_counter_calls(actions):
            self.count_name = call.name if call.lifetime > 30.0 else self.count_name
            self.in_flight.append(CallInFlight(self.now + ONE_WAY_S, harness, call))

    def deliver_calls(self) -> None:
        """Execute calls and deliver their replies until no call is in flight."""
        while self.in_flight:
            self.in_flight.sort(key=lambda call: call.arrives_at)
            next_call = self.in_flight.pop(0)
            self.now = max(self.now, next_call.arrives_at)
            total = self.counter.add(self.now, next_call.call)
            harness = next_call.harness
            harness.now = max(harness.now, self.now + ONE_WAY_S)
            reply = CounterReply(next_call.call.name, Outcome.OK, total, 2 * ONE_WAY_S)
            self._process_actions(harness, harness.deliver_event(0.0, reply))


def fleet_quota_level(fleet: FleetWithCounter) -> float:
    """Return the units left of the customer's quota by its count and the unreported use of all gateways."""
    reported_units = fleet.counter.total(fleet.count_name)
    unreported_units = sum(
        get_customer(harness).counted_use.unreported_units
        for harness in fleet.harnesses
        if "c" in harness.gateway.admission.customers.by_key
    )
    return (
        BASIC_PLAN.burst
        + BASIC_PLAN.rate * (fleet.now - COUNT_STARTED_AT)
        - reported_units
        - unreported_units
    )


@pytest.mark.parametrize("requesting_gateway_count", [1, 5, GATEWAYS])
def test_credit_is_corrected_once_however_many_gateways_see_it(requesting_gateway_count: int) -> None:
    fleet = FleetWithCounter()
    fleet.now += 20.0  # 40 units of credit beyond the burst
    for index in range(requesting_gateway_count):
        fleet.send_request(index)
    fleet.deliver_calls()
    assert fleet.sent_count >= min(requesting_gateway_count, BASIC_PLAN.burst)
    assert fleet_quota_level(fleet) == pytest.approx(BASIC_PLAN.burst - fleet.sent_count, abs=0.5)


def test_debt_is_corrected_once_however_many_gateways_see_it() -> None:
    fleet = FleetWithCounter()
    fleet.send_request(0)
    fleet.deliver_calls()
    # The debt comes from another gateway, whose requests were all over quota.
    fleet.counter.add(fleet.now, IncrementCounter(fleet.count_name, 50.0, 60.0))
    for _ in range(12):  # 1.2 s: longer than a debt must last to be corrected
        for index in range(10):
            fleet.send_request(index)
        fleet.deliver_calls()
        fleet.now += 0.1
    assert -1.0 <= fleet_quota_level(fleet) <= 3.0


def send_request_and_get_count_name(fleet: FleetWithCounter) -> int:
    """Send a request through the first gateway and return the name of the customer's count."""
    fleet.send_request(0)
    fleet.deliver_calls()
    return fleet.count_name


def test_debt_seen_once_is_not_corrected() -> None:
    fleet = FleetWithCounter()
    fleet.now += 4.0  # no gateway has seen a debt yet
    fleet.counter.add(fleet.now, IncrementCounter(send_request_and_get_count_name(fleet), 50.0, 60.0))
    level_before = fleet_quota_level(fleet)
    for index in range(10):
        fleet.send_request(index)
    fleet.deliver_calls()
    assert fleet_quota_level(fleet) == pytest.approx(level_before, abs=0.1)


@pytest.mark.parametrize(
    "reply",
    [CounterReply(0, Outcome.OK, 2.0), CounterReply(0, Outcome.TIMEOUT), CounterReply(0, Outcome.REJECTED)],
)
def test_count_is_not_corrected_without_a_granted_lease(reply: CounterReply) -> None:
    harness = GatewayHarness(FLEET_SETTINGS)
    harness.now = COUNT_STARTED_AT + 20.0
    harness.gateway.counter.sampling.rate = 1.0
    [call] = find_counter_calls(harness.deliver_request(assigned_instances=GATEWAYS))
    actions = harness.deliver_event(ONE_WAY_S, CounterReply(call.name, Outcome.OK, 1.0))
    [lease] = find_counter_calls(actions)
    assert lease.name != call.name
    assert lease.add == 1.0
    assert lease.lifetime == pytest.approx(10 * FLEET_SETTINGS.counter_timeout)
    assert harness.deliver_event(ONE_WAY_S, replace(reply, name=lease.name)) == []
    assert get_customer(harness).counted_use.unreported_units == 0.0


def test_lease_for_an_earlier_count_corrects_nothing() -> None:
    harness = GatewayHarness(FLEET_SETTINGS)
    harness.now = COUNT_STARTED_AT + 29.9
    harness.gateway.counter.sampling.rate = 1.0
    [call] = find_counter_calls(harness.deliver_request(assigned_instances=GATEWAYS))
    [lease] = find_counter_calls(harness.deliver_event(ONE_WAY_S, CounterReply(call.name, Outcome.OK, 1.0)))
    assert not harness.deliver_event(
        0.2, CounterReply(lease.name, Outcome.OK, 1.0)
    )  # the next epoch has begun


def collect_corrections(harness: GatewayHarness, total: float) -> list[float]:
    """Send a request, grant all leases, and return the units that are added as corrections."""
    harness.deliver_request(assigned_instances=100)
    call = find_counter_calls(harness.actions)[-1]
    actions = harness.deliver_event(0.001, CounterReply(call.name, Outcome.OK, total, 0.001))
    added = [a.add for a in actions if isinstance(a, IncrementCounter) and a.name == call.name]
    for lease in [a for a in actions if isinstance(a, IncrementCounter) and a.name != call.name]:
        granted = harness.deliver_event(0.001, CounterReply(lease.name, Outcome.OK, 1.0, 0.001))
        added += [a.add for a in granted if isinstance(a, IncrementCounter)]
    for name in list(harness.gateway.counter.calls.in_flight):
        harness.deliver_event(0.001, CounterReply(name, Outcome.OK, total + sum(added), 0.001))
    return added


def test_count_outside_its_range_is_corrected() -> None:
    """Credit is corrected immediately; debt must last, because other gateways may soon take units back."""
    harness = GatewayHarness(LARGE_FLEET_SETTINGS)
    harness.gateway.counter.sampling.rate = 1.0
    harness.now = get_count_start_time(3)
    assert collect_corrections(harness, -40.0) == [pytest.approx(40.0, abs=1.1)]
    harness.now += 0.2
    assert collect_corrections(harness, 30.0) == []
    harness.now += 20 * LARGE_FLEET_SETTINGS.counter_timeout
    # The correction leaves an empty quota.
    assert sum(collect_corrections(harness, 30.0)) == pytest.approx(-20.0, abs=4.6)
