"""The use that is carried over into a new count."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.interface import CounterReply, Outcome
from tests.support.gateway import BASIC, Play, sends
from tests.support.quota import COUNTING, count_started_at, increments


@pytest.mark.parametrize("gateways", [1, 2])
def test_new_count_does_not_refill_the_quota(gateways: int) -> None:
    """Without the carry-over, a burst that lasts into the next epoch exceeds the ceiling."""
    plays = [Play(replace(COUNTING, instance_index=n)) for n in range(gateways)]
    totals: dict[int, float] = {}
    count_names: set[int] = set()
    next_count_starts_at = count_started_at(4)
    for play in plays:
        play.now = play.gateway.process.started_at = next_count_starts_at - 4.0

    def ask(play: Play) -> int:
        nonlocal count_names
        actions = play.ask(0.01)
        sent = sends(actions)
        while calls := increments(actions):
            actions = []
            for call in calls:
                totals[call.name] = totals.get(call.name, 0.0) + call.add
                count_names |= {call.name} if call.lifetime > 30.0 else set()
                actions += play.at(0.001, CounterReply(call.name, Outcome.OK, totals[call.name], 0.001))
            sent += sends(actions)
        for send in sent:
            play.end(send, Outcome.OK, 0.001)
        return len(sent)

    sent = {False: 0, True: 0}
    while plays[0].now < next_count_starts_at + 1.0:
        for play in plays:
            sent[play.now > next_count_starts_at] += ask(play)
    assert len(count_names) == 2  # the names of leases, which have a shorter lifetime, are not included
    assert sent[False] >= BASIC.burst
    assert sent[True] <= BASIC.rate * 1.0 + 2
