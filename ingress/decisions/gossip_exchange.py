"""Gossip: gateways report their customers' use to each other instead of to the shared counter."""

import ingress.interface as api
from ingress.decisions.action_sink import ActionSink
from ingress.decisions.admission import Admission
from ingress.decisions.peer_reports import PeerReports
from ingress.decisions.process_start import ProcessStart
from ingress.gossip_codec import encode_report


class GossipExchange:
    """The exchange of use reports with the other gateways."""

    def __init__(
        self, peer_reports: PeerReports, admission: Admission, process_start: ProcessStart, sink: ActionSink
    ) -> None:
        self.peer_reports = peer_reports
        self.admission = admission
        self.process_start = process_start
        self.sink = sink

    def receive_report(self, now: float, event: api.GossipReceived) -> None:
        """Subtract the use that a peer reports from the estimates of the customers known to this gateway."""
        for customer_hash, units in self.peer_reports.record_report(
            event, now, self.process_start.incarnation
        ):
            customer = self.admission.customers.by_hash.get(customer_hash)
            if customer is not None:
                customer.estimate.record_peer_use(now, units)

    def send_report(self) -> None:
        """Send the total use of as many customers as fit into one message, the most unreported first."""
        customers = [c for c in self.admission.customers.by_key.values() if c.counted_use.unreported_units]
        customers.sort(key=lambda customer: -abs(customer.counted_use.unreported_units))
        totals = ((customer.hash, customer.total_used_units) for customer in customers)
        report = encode_report(self.process_start.incarnation, totals)
        for customer in customers[: report.included_count]:
            customer.counted_use.unreported_units = 0.0
        self.sink.emit(api.SendGossip(report.text))
