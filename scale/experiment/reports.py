"""Collect the reports of the child processes at the end of a run."""

from __future__ import annotations

from dataclasses import dataclass

from scale.experiment.messages import BackendsReport, ClientsReport, Finish, HollowReport
from scale.experiment.parts import Parts


@dataclass(slots=True)
class Reports:
    """The final reports of all children."""

    hollow: list[HollowReport]
    clients: ClientsReport | None = None
    backends: BackendsReport | None = None


async def collect_reports(parts: Parts, timeout_s: float) -> Reports:
    """End the load and collect the reports; raise ChildFailedError if one exceeds the timeout."""
    for child in parts.load_generators():
        await child.send(Finish())
    reports = Reports([await worker.receive(HollowReport, timeout_s) for worker in parts.workers])
    if parts.clients_child is not None:
        reports.clients = await parts.clients_child.receive(ClientsReport, timeout_s)
    # Stop the backends last, because they serve the requests that are still in flight until then.
    if parts.backends_child is not None:
        await parts.backends_child.send(Finish())
        reports.backends = await parts.backends_child.receive(BackendsReport, timeout_s)
    return reports
