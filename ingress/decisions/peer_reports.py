"""Reports of use from other gateways, in deployments where gateways can send messages to each other."""

from dataclasses import dataclass, field
from typing import NamedTuple

import ingress.interface as api
from ingress.decisions.constants import NEVER
from ingress.gossip_codec import UseReport, decode_report

MAX_MISSED_REPORTS = 4  # report periods without a report after which the use of a peer counts as unknown


class ReportedUse(NamedTuple):
    """Use of one customer that a peer has newly reported."""

    customer_hash: int
    units: float


@dataclass(slots=True)
class PeerState:
    """The state of one other gateway, as its reports show it."""

    incarnation: int = 0
    """Start time of the peer's process in Unix milliseconds; 0 before the first report."""
    reported_at: float = NEVER
    """Time in seconds of the peer's last valid report."""
    totals: dict[int, float] = field(default_factory=dict)
    """Units that the peer's process has used, by the customer's hash."""


class PeerReports:
    """The latest reports of all peers: how much each has used, and whether it still reports."""

    def __init__(self, period: float) -> None:
        self.period = period
        """Seconds between two reports of a peer."""
        self.peers: dict[int, PeerState] = {}
        """The state of each gateway that has reported, by its index."""

    def have_all_reported(self, now: float, peer_indices: set[int]) -> bool:
        """Return whether each of the peers with these indices has reported recently."""
        max_age = MAX_MISSED_REPORTS * self.period
        for index in peer_indices:
            peer = self.peers.get(index)
            if peer is None or now - peer.reported_at >= max_age:
                return False
        return True

    def record_report(self, event: api.GossipReceived, now: float, own_incarnation: int) -> list[ReportedUse]:
        """Record a peer's message and return the use that the peer's earlier messages did not report.

        A malformed message, or one of an earlier process of the peer, is ignored.
        """
        report = decode_report(event.text)
        if report is None:
            return []
        peer = self.peers.get(event.sender_index) or PeerState()
        if report.incarnation < peer.incarnation:
            return []
        self.peers[event.sender_index] = peer
        if report.incarnation > peer.incarnation:
            peer.incarnation = report.incarnation
            peer.totals = {}
        peer.reported_at = now
        return self._update_totals(peer, report, own_incarnation)

    def _update_totals(self, peer: PeerState, report: UseReport, own_incarnation: int) -> list[ReportedUse]:
        """Update the peer's totals and return their increases."""
        increases = []
        # The first total of a peer that started before this process may include use from long ago, so it
        # serves only as the baseline for later totals.
        peer_started_later = report.incarnation >= own_incarnation
        for customer_hash, total in report.totals:
            last_total = peer.totals.get(customer_hash, 0.0 if peer_started_later else total)
            peer.totals[customer_hash] = max(last_total, total)
            if total > last_total:
                increases.append(ReportedUse(customer_hash, total - last_total))
        return increases
