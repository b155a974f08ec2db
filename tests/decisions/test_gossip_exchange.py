"""Gossip: reports of use between gateways, and the admission that is based on them."""

from __future__ import annotations

from dataclasses import replace
from zlib import crc32

import pytest

from ingress.interface import GossipReceived, SendGossip, TimerFired
from tests.support.gateway import GatewayHarness
from tests.support.quota import GOSSIP_SETTINGS, deliver_requests


def test_gateway_admits_what_its_peer_has_left_of_the_quota() -> None:
    sender, receiver = (
        GatewayHarness(GOSSIP_SETTINGS),
        GatewayHarness(replace(GOSSIP_SETTINGS, instance_index=1)),
    )
    receiver.deliver_event(0.0, GossipReceived(0, "1"))
    deliver_requests(sender, 4)
    sender.deliver_event(0.25, TimerFired(0))
    report = [a for a in sender.actions if isinstance(a, SendGossip)][-1]
    assert len(report.text.encode()) <= 256
    assert deliver_requests(receiver, 1) == 1
    receiver.deliver_event(0.25, GossipReceived(0, report.text))
    # Of a burst of 8, the sender has used 4 units and the receiver 1.
    assert 0 < deliver_requests(receiver, 20) <= 4


@pytest.mark.parametrize("text", ["", "x", "1 zz", "1 a:b:c", "1 a:", "\x00\u20ac", "1 " + "f" * 250])
def test_malformed_messages_are_ignored(text: str) -> None:
    harness = GatewayHarness(GOSSIP_SETTINGS)
    assert harness.deliver_event(0.0, GossipReceived(1, text)) == []


def test_customer_is_limited_to_its_slice_without_recent_reports() -> None:
    harness = GatewayHarness(GOSSIP_SETTINGS)
    harness.deliver_event(0.0, GossipReceived(1, "1"))
    harness.now += 5.0
    assert deliver_requests(harness, 20) == 4


def test_customer_near_its_quota_is_limited_to_its_slice_once_reports_stop() -> None:
    harness = GatewayHarness(GOSSIP_SETTINGS)
    for tick in range(40):  # the peer uses nearly all of the quota, then stops reporting
        harness.deliver_event(0.25, GossipReceived(1, f"200000 {crc32(b'c'):x}:{tick * 5}"))
        deliver_requests(harness, 1)
    harness.now += 8.0
    assert deliver_requests(harness, 10) == 4
