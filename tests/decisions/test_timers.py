"""The timers: retries of discovery calls, the periodic tick, and the period of the reports of use."""

from __future__ import annotations

from dataclasses import replace

from ingress.decisions.timers import DISCOVERY_TOKEN, TICK_TOKEN, gossip_period, report_period, uses_counter
from ingress.interface import EndpointUpdate, EndpointUpdateKind, SetTimer, SubscribeEndpoints, TimerFired
from tests.support.gateway import SETTINGS, GatewayHarness, find_sent_attempts


def test_failed_discovery_calls_set_only_one_retry_timer() -> None:
    harness = GatewayHarness(replace(SETTINGS, poll_discovery=True, max_poll_interval=10.0))
    assert sum(isinstance(a, SubscribeEndpoints) for a in harness.actions) == 1
    for _ in range(10):
        harness.deliver_event(0.01, EndpointUpdate(EndpointUpdateKind.UNAVAILABLE))
    assert sum(isinstance(a, SetTimer) and a.token == 1 for a in harness.actions) == 1
    harness.deliver_event(3.0, TimerFired(1))
    assert sum(isinstance(a, SubscribeEndpoints) for a in harness.actions) == 2
    assert find_sent_attempts(harness.deliver_request())  # the gateway still uses the old list


def test_tick_sets_the_next_tick_one_period_later() -> None:
    harness = GatewayHarness()
    period = harness.gateway.timers.tick_period
    [first_timer] = [action for action in harness.actions if isinstance(action, SetTimer)]
    assert first_timer.token == TICK_TOKEN
    assert 0.0 <= first_timer.delay < period
    assert harness.deliver_event(first_timer.delay, TimerFired(TICK_TOKEN)) == [SetTimer(period, TICK_TOKEN)]


def test_timer_with_an_unknown_token_is_ignored() -> None:
    assert GatewayHarness().deliver_event(1.0, TimerFired(DISCOVERY_TOKEN + 1)) == []


def test_gossip_takes_up_half_of_the_receive_rate() -> None:
    settings = replace(SETTINGS, gossip=True, gossip_receive_rate=100.0, instance_count=200)
    assert settings.instance_count / gossip_period(settings) == 100.0 / 2


def test_counter_is_used_only_if_gossip_would_be_infrequent() -> None:
    frequent_gossip = replace(
        SETTINGS, gossip=True, gossip_receive_rate=200.0, counter_enabled=True, counter_timeout=0.05
    )
    assert not uses_counter(frequent_gossip)
    rare_gossip = replace(frequent_gossip, instance_count=200)
    assert uses_counter(rare_gossip)
    assert report_period(rare_gossip) < gossip_period(rare_gossip)
