"""The child process that simulates all clients of the real ingresses."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import asdict

from scale.experiment.messages import (
    ClientRestarting,
    ClientsReport,
    Finish,
    Load,
    PauseClient,
    Ready,
    StartClients,
)
from scale.experiment.pipe import receive_commands, run_child, send_message
from scale.standins.client_requests import ClientCounts
from scale.standins.clients import ANSWER_SLACK_S, IngressClients
from scale.standins.histograms import TimeHistogram

SEED_STEP = 7919  # difference between the seeds of the clients of two consecutive ingresses


async def serve() -> None:
    """Simulate clients and carry out the commands of the runner."""
    clients_by_ingress: dict[int, IngressClients] = {}
    finish_timeout_s = 0.0
    async for message in receive_commands():
        match message:
            case StartClients():
                finish_timeout_s = (
                    max(request_class.deadline_s for request_class in message.scenario.classes)
                    + ANSWER_SLACK_S
                )
                for number, address in enumerate(message.addresses, message.first_number):
                    seed = message.scenario.seed + SEED_STEP * number
                    clients_by_ingress[number] = IngressClients(message.scenario, number, address, seed)
                send_message(Ready())
            case Load():
                for clients in clients_by_ingress.values():
                    clients.start()
            case PauseClient():
                clients_by_ingress[message.ingress].set_paused(message.paused)
            case ClientRestarting():
                clients_by_ingress[message.ingress].is_restarting = message.restarting
            case Finish():
                await asyncio.gather(
                    *(clients.finish(finish_timeout_s) for clients in clients_by_ingress.values())
                )
                send_message(_make_report(list(clients_by_ingress.values())))
                break


def _make_report(all_clients: list[IngressClients]) -> ClientsReport:
    counts = ClientCounts()
    latency = TimeHistogram()
    added = TimeHistogram()
    for clients in all_clients:
        counts.add(clients.measures.counts)
        latency.add_encoded(clients.measures.latencies.encode())
        added.add_encoded(clients.measures.added_latencies.encode())
    return ClientsReport(counts=asdict(counts), latency=latency.encode(), added=added.encode())


if __name__ == "__main__":
    sys.exit(run_child(serve))
