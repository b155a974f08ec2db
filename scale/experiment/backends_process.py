"""The child process that serves all backends."""

from __future__ import annotations

import random
import sys

from scale.experiment.messages import (
    BackendsReport,
    ColdBackend,
    Finish,
    Ready,
    SilentBackends,
    StartBackends,
)
from scale.experiment.pipe import receive_commands, run_child, send_message
from scale.standins.backends import BackendServer


async def serve() -> None:
    """Serve backends and carry out the commands of the runner."""
    backends: list[BackendServer] = []
    async for message in receive_commands():
        match message:
            case StartBackends():
                rng = random.Random(message.seed)
                backends = [BackendServer(message.model, rng) for _ in range(message.listeners)]
                send_message(Ready(addresses=[await backend.listen() for backend in backends]))
            case SilentBackends():
                for listener in message.listeners:
                    backends[listener].set_silent(message.silent)
            case ColdBackend():
                backends[message.listener].begin_cold_start(message.started)
            case Finish():
                send_message(_make_report(backends))
                break
    for backend in backends:
        backend.close()


def _make_report(backends: list[BackendServer]) -> BackendsReport:
    counts = [backend.counts for backend in backends]
    return BackendsReport(
        commands=sum(count.commands for count in counts),
        served=sum(count.served for count in counts),
        busy=sum(count.busy for count in counts),
        errors=sum(count.errors for count in counts),
        connections=sum(count.connections for count in counts),
        cold_units={
            listener: backend.queue.cold_units
            for listener, backend in enumerate(backends)
            if backend.queue.cold_units
        },
    )


if __name__ == "__main__":
    sys.exit(run_child(serve))
