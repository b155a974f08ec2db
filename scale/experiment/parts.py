"""The parts of a run: stand-ins, child processes and real ingresses."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from scale.experiment.child import Child
from scale.experiment.fleet import Slot
from scale.real import RealIngress
from scale.standins.agent import Agent
from scale.standins.counter import CounterServer


@dataclass(slots=True)
class RealIncarnation:
    """One incarnation of a real ingress, from the time at which it serves to the SIGTERM that ends it."""

    ingress_number: int
    started_at: float  # monotonic clock
    ended_at: float | None = None  # monotonic clock; None while it runs


@dataclass(slots=True)
class Parts:
    """All parts that a run has started."""

    agent: Agent
    counter: CounterServer
    slots: list[Slot]  # the backends
    workers: list[Child]
    worker_index_by_ingress: dict[int, int]  # index of the worker, by the number of the hollow ingress
    real_ingresses: dict[int, RealIngress]  # by the number of the ingress
    backends_child: Child | None = None  # None where no real ingress connects to backends
    clients_child: Child | None = None  # None where there is no real ingress

    def load_generators(self) -> Iterator[Child]:
        """Yield the children that generate requests."""
        yield from self.workers
        if self.clients_child is not None:
            yield self.clients_child


def real_group_name(number: int) -> str:
    """Return the name of the agent's listener for one real ingress."""
    return f"real-{number}"
