"""Corrections of a count, which need a lease: of all gateways that see a total, only one corrects it."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest

from ingress.interface import Action, CounterReply, IncrementCounter, Outcome, Settings
from tests.support.gateway import BASIC, Play, sends
from tests.support.quota import COUNTING, LARGE_FLEET, count_started_at, customer_of, increments

GATEWAYS = 40
FLEET_SETTINGS = replace(COUNTING, instance_count=GATEWAYS)
ONE_WAY_S = 0.005  # latency from a gateway to the counter, or back
COUNT_STARTED_AT = count_started_at(4)


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
    """Time in seconds when it arrives at the counter."""
    play: Play
    """The gateway that sent the call."""
    call: IncrementCounter


class FleetWithCounter:
    """Gateways that share one counter; a reply takes a round trip and may cause another call."""

    def __init__(self, settings: Settings = FLEET_SETTINGS, start: float = COUNT_STARTED_AT) -> None:
        self.now = start
        self.counter = SharedCounter()
        self.plays = [
            Play(replace(settings, instance_index=index)) for index in range(settings.instance_count)
        ]
        self.in_flight: list[CallInFlight] = []
        self.count_name = 0  # name of the customer's count
        self.sent_count = 0  # number of attempts sent
        for play in self.plays:
            play.now = start
            play.gateway.counter.sampling.rate = 1.0

    def ask(self, index: int, units: float = 1.0) -> None:
        play = self.plays[index]
        play.now = max(play.now, self.now)
        self._process_actions(play, play.ask(units=units, assigned_instances=GATEWAYS))

    def _process_actions(self, play: Play, actions: list[Action]) -> None:
        for send in sends(actions):
            self.sent_count += 1
            play.end(send, after=0.0)
        for call in increments(actions):
            self.count_name = call.name if call.lifetime > 30.0 else self.count_name
            self.in_flight.append(CallInFlight(self.now + ONE_WAY_S, play, call))

    def deliver_calls(self) -> None:
        """Execute calls and deliver their replies until no call is in flight."""
        while self.in_flight:
            self.in_flight.sort(key=lambda each: each.arrives_at)
            next_call = self.in_flight.pop(0)
            self.now = max(self.now, next_call.arrives_at)
            total = self.counter.add(self.now, next_call.call)
            play = next_call.play
            play.now = max(play.now, self.now + ONE_WAY_S)
            reply = CounterReply(next_call.call.name, Outcome.OK, total, 2 * ONE_WAY_S)
            self._process_actions(play, play.at(0.0, reply))


def fleet_quota_level(fleet: FleetWithCounter) -> float:
    """Return the units left of the customer's quota by its count and the unreported use of all gateways."""
    reported_units = fleet.counter.total(fleet.count_name)
    unreported_units = sum(
        customer_of(play).counted_use.unreported_units
        for play in fleet.plays
        if "c" in play.gateway.admission.customers_by_key
    )
    return BASIC.burst + BASIC.rate * (fleet.now - COUNT_STARTED_AT) - reported_units - unreported_units


@pytest.mark.parametrize("asking", [1, 5, GATEWAYS])
def test_credit_is_corrected_once_however_many_gateways_see_it(asking: int) -> None:
    fleet = FleetWithCounter()
    fleet.now += 20.0  # 40 units of credit beyond the burst
    for index in range(asking):
        fleet.ask(index)
    fleet.deliver_calls()
    assert fleet.sent_count >= min(asking, BASIC.burst)
    assert fleet_quota_level(fleet) == pytest.approx(BASIC.burst - fleet.sent_count, abs=0.5)


def test_debt_is_corrected_once_however_many_gateways_see_it() -> None:
    fleet = FleetWithCounter()
    fleet.ask(0)
    fleet.deliver_calls()
    # The debt comes from another gateway, whose requests were all over quota.
    fleet.counter.add(fleet.now, IncrementCounter(fleet.count_name, 50.0, 60.0))
    for _ in range(12):  # 1.2 s: longer than a debt must last to be corrected
        for index in range(10):
            fleet.ask(index)
        fleet.deliver_calls()
        fleet.now += 0.1
    assert -1.0 <= fleet_quota_level(fleet) <= 3.0


def ask_for_count_name(fleet: FleetWithCounter) -> int:
    fleet.ask(0)
    fleet.deliver_calls()
    return fleet.count_name


def test_debt_seen_once_is_not_corrected() -> None:
    fleet = FleetWithCounter()
    fleet.now += 4.0  # no gateway has seen a debt yet
    fleet.counter.add(fleet.now, IncrementCounter(ask_for_count_name(fleet), 50.0, 60.0))
    level_before = fleet_quota_level(fleet)
    for index in range(10):
        fleet.ask(index)
    fleet.deliver_calls()
    assert fleet_quota_level(fleet) == pytest.approx(level_before, abs=0.1)


@pytest.mark.parametrize(
    "reply",
    [CounterReply(0, Outcome.OK, 2.0), CounterReply(0, Outcome.TIMEOUT), CounterReply(0, Outcome.REJECTED)],
)
def test_count_is_not_corrected_without_a_granted_lease(reply: CounterReply) -> None:
    play = Play(FLEET_SETTINGS)
    play.now = COUNT_STARTED_AT + 20.0
    play.gateway.counter.sampling.rate = 1.0
    [call] = increments(play.ask(assigned_instances=GATEWAYS))
    answer = play.at(ONE_WAY_S, CounterReply(call.name, Outcome.OK, 1.0))
    [lease] = increments(answer)
    assert lease.name != call.name
    assert lease.add == 1.0
    assert lease.lifetime == pytest.approx(10 * FLEET_SETTINGS.counter_timeout)
    assert play.at(ONE_WAY_S, replace(reply, name=lease.name)) == []
    assert customer_of(play).counted_use.unreported_units == 0.0


def test_lease_for_an_earlier_count_corrects_nothing() -> None:
    play = Play(FLEET_SETTINGS)
    play.now = COUNT_STARTED_AT + 29.9
    play.gateway.counter.sampling.rate = 1.0
    [call] = increments(play.ask(assigned_instances=GATEWAYS))
    [lease] = increments(play.at(ONE_WAY_S, CounterReply(call.name, Outcome.OK, 1.0)))
    assert not play.at(0.2, CounterReply(lease.name, Outcome.OK, 1.0))  # the next epoch has begun


def ask_for_corrections(play: Play, total: float) -> list[float]:
    """Send a request, grant all leases, and return the units that are added as corrections."""
    play.ask(assigned_instances=100)
    call = increments(play.actions)[-1]
    answer = play.at(0.001, CounterReply(call.name, Outcome.OK, total, 0.001))
    added = [a.add for a in answer if isinstance(a, IncrementCounter) and a.name == call.name]
    for lease in [a for a in answer if isinstance(a, IncrementCounter) and a.name != call.name]:
        granted = play.at(0.001, CounterReply(lease.name, Outcome.OK, 1.0, 0.001))
        added += [a.add for a in granted if isinstance(a, IncrementCounter)]
    for name in list(play.gateway.counter.calls.in_flight):
        play.at(0.001, CounterReply(name, Outcome.OK, total + sum(added), 0.001))
    return added


def test_count_outside_its_range_is_corrected() -> None:
    """Credit is corrected at once; debt must last, because other gateways may soon take units back."""
    play = Play(LARGE_FLEET)
    play.gateway.counter.sampling.rate = 1.0
    play.now = count_started_at(3)
    assert ask_for_corrections(play, -40.0) == [pytest.approx(40.0, abs=1.1)]
    play.now += 0.2
    assert ask_for_corrections(play, 30.0) == []
    play.now += 20 * LARGE_FLEET.counter_timeout
    # The correction leaves an empty quota.
    assert sum(ask_for_corrections(play, 30.0)) == pytest.approx(-20.0, abs=4.6)
