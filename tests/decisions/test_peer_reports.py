"""The reports of peers: the use that each adds, and how long a report is valid."""

from __future__ import annotations

from ingress.decisions.peer_reports import PeerReports
from ingress.interface import GossipReceived
from tests.support.gateway import GatewayHarness
from tests.support.quota import GOSSIP_SETTINGS, deliver_requests, get_customer


def test_repeated_report_or_report_of_an_ended_process_adds_no_use() -> None:
    harness = GatewayHarness(GOSSIP_SETTINGS)
    deliver_requests(harness, 1)
    reports, key = harness.gateway.peer_reports, get_customer(harness).hash
    # This use is from before this process began.
    assert reports.record_report(GossipReceived(1, f"5 {key:x}:10"), 100.0, 6) == []
    assert reports.record_report(GossipReceived(1, f"5 {key:x}:30"), 100.0, 6) == [(key, 2.0)]
    assert reports.record_report(GossipReceived(1, f"5 {key:x}:30"), 100.0, 6) == []
    assert reports.record_report(GossipReceived(1, f"4 {key:x}:90"), 100.0, 6) == []
    assert reports.record_report(GossipReceived(1, f"6 {key:x}:10"), 100.0, 6) == [(key, 1.0)]


def test_first_total_of_an_older_peer_is_only_a_baseline() -> None:
    reports = GatewayHarness(GOSSIP_SETTINGS).gateway.peer_reports
    assert reports.record_report(GossipReceived(1, "5 a:10"), 100.0, 9) == []
    # The first total of another customer comes in a later message.
    assert reports.record_report(GossipReceived(1, "5 b:9000"), 100.0, 9) == []
    assert reports.record_report(GossipReceived(1, "5 b:9010"), 100.0, 9) == [(11, 1.0)]


def test_all_peers_have_reported_only_while_no_report_is_too_old() -> None:
    reports = PeerReports(period=0.25)
    assert reports.have_all_reported(100.0, set())
    reports.record_report(GossipReceived(1, "1"), 100.0, 1)
    reports.record_report(GossipReceived(2, "1"), 100.5, 1)
    assert reports.have_all_reported(100.9, {1, 2})
    assert not reports.have_all_reported(100.9, {1, 2, 3})
    assert not reports.have_all_reported(101.0, {1, 2})
    assert reports.have_all_reported(101.0, {2})
