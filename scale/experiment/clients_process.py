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
from scale.standins.clients import ANSWER_SLACK_S, Client
from scale.standins.histograms import TimeHistogram

SEED_STEP = 7919  # difference between the seeds of the clients of two consecutive ingresses


async def serve() -> None:
    """Simulate clients and carry out the commands of the runner."""
    clients: dict[int, Client] = {}
    finish_timeout_s = 0.0
    async for message in receive_commands():
        match message:
            case StartClients():
                finish_timeout_s = max(c.deadline_s for c in message.scenario.classes) + ANSWER_SLACK_S
                for number, address in enumerate(message.addresses, message.first_number):
                    seed = message.scenario.seed + SEED_STEP * number
                    clients[number] = Client(message.scenario, number, address, seed)
                send_message(Ready())
            case Load():
                for client in clients.values():
                    client.start()
            case PauseClient():
                clients[message.ingress].set_paused(message.paused)
            case ClientRestarting():
                clients[message.ingress].is_restarting = message.restarting
            case Finish():
                await asyncio.gather(*(client.finish(finish_timeout_s) for client in clients.values()))
                send_message(_make_report(list(clients.values())))
                break


def _make_report(clients: list[Client]) -> ClientsReport:
    counts = ClientCounts()
    latency = TimeHistogram()
    added = TimeHistogram()
    for client in clients:
        counts.add(client.measures.counts)
        latency.add_encoded(client.measures.latencies.encode())
        added.add_encoded(client.measures.added_latencies.encode())
    return ClientsReport(counts=asdict(counts), latency=latency.encode(), added=added.encode())


if __name__ == "__main__":
    sys.exit(run_child(serve))
