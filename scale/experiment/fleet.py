"""The backends of a run as discovery lists them: their ids, zones, listeners and start times."""

from __future__ import annotations

import time
from dataclasses import dataclass

from scale.addresses import Address
from scale.experiment.settings import zone_name
from scale.scenario import Scenario
from scale.standins.registry import Entry, State

UNUSED_ADDRESS: Address = ("127.0.0.1", 9)  # of backends that no ingress connects to
BACKEND_KIND = "std"
CELL_SIZE = 4  # backends in one cell


@dataclass(slots=True)
class Slot:
    """The place of one backend in the fleet, and the backend that holds the place now."""

    number: int
    zone: str
    listener: int | None  # index of the listener; None where no real ingress connects to backends
    address: Address
    generation: int = 0  # number of backends that held the place before
    started_ms: int = 0  # Unix time; 0 for a backend that started before the scenario
    weight: float = 1.0

    @property
    def backend_id(self) -> str:
        """The id of the backend that holds the place."""
        return f"b{self.number}-{self.generation}"

    @property
    def cold_start_key(self) -> str:
        """The key under which the load after this start of the backend is counted."""
        return f"{self.backend_id}@{self.started_ms / 1000:.3f}"

    def make_entry(self, state: State = "ready") -> Entry:
        """Return the entry in the endpoint list of the backend that holds the place."""
        return Entry(
            self.backend_id,
            self.address,
            self.zone,
            state,
            self.started_ms,
            BACKEND_KIND,
            self.number // CELL_SIZE,
            self.weight,
        )

    def replace_backend(self) -> None:
        """Put a new backend, which has just started, in the place."""
        self.generation += 1
        self.record_restart()

    def record_restart(self) -> None:
        """Record that the backend starts now."""
        self.started_ms = round(time.time() * 1000)


def make_slots(scenario: Scenario, listener_addresses: list[Address]) -> list[Slot]:
    """Return a slot for each backend; several backends share a listener if there are fewer listeners."""
    slots = []
    for number in range(scenario.sizes.backends):
        listener = number % len(listener_addresses) if listener_addresses else None
        address = UNUSED_ADDRESS if listener is None else listener_addresses[listener]
        slots.append(Slot(number, zone_name(number % scenario.sizes.zones), listener, address))
    return slots
