"""The backends of a soak run, and the discovery agent that tells of them."""

from __future__ import annotations

import asyncio
import random
import time
from math import inf

from scale.addresses import Address
from scale.soak.backend import RecordingBackend
from scale.soak.books import Books
from scale.soak.plan import SoakPlan
from scale.standins.agent import Agent
from scale.standins.registry import Entry, Registry

BACKEND_COUNT = 6
CELL_COUNT = 3
RESTART_S = 0.05  # from the end of a backend to the start of another one at its address
LISTED_AFTER_S = 0.45  # from that start until discovery lists the new backend
END_NOTICED_AFTER_S = 2.5  # from the end of a backend until discovery drops it
AGENT_GROUPS = ("first", "second")  # the addresses between which new configurations move discovery
ZONE = "a"


class SoakFleet:
    """Backends in cells, some of which vanish and are replaced at their addresses."""

    def __init__(self, plan: SoakPlan, books: Books) -> None:
        """Create the backends; `listen` starts them and the agent."""
        self._plan = plan
        self._books = books
        self._rng = random.Random(plan.seed * 100 + BACKEND_COUNT)
        self._backends = [
            self._create_backend(number, number % CELL_COUNT) for number in range(BACKEND_COUNT)
        ]
        self._addresses: list[Address] = []
        self.entries: list[Entry] = []  # the list with which an ingress starts
        self.agent_addresses: list[Address] = []

    async def listen(self) -> None:
        """Start to listen on ephemeral ports."""
        self._addresses = [await backend.listen() for backend in self._backends]
        self.entries = [
            Entry(f"s{number}", self._addresses[number], ZONE, cell=backend.cell)
            for number, backend in enumerate(self._backends)
        ]
        self._agent = Agent(Registry(self.entries, self._plan.answers_complete_lists))
        self.agent_addresses = [await self._agent.listen(group) for group in AGENT_GROUPS]

    async def run_replacements(self) -> None:
        """Replace backends at the times of the plan, each place once."""
        start = time.monotonic()
        places = self._rng.sample(range(BACKEND_COUNT), len(self._plan.replacement_times_s))
        async with asyncio.TaskGroup() as tasks:
            for at_s, place in zip(self._plan.replacement_times_s, places, strict=True):
                await asyncio.sleep(max(0.0, start + at_s - time.monotonic()))
                tasks.create_task(self._replace(place))

    def close(self) -> None:
        """Stop listening."""
        for backend in self._backends:
            backend.close()
        self._agent.close()

    def _create_backend(self, number: int, cell: int) -> RecordingBackend:
        rng = random.Random(self._plan.seed * 100 + number)
        return RecordingBackend(self._books, rng, self._plan.backend_fault_share, cell)

    async def _replace(self, place: int) -> None:
        old, old_entry = self._backends[place], self.entries[place]
        old.vanish()
        await asyncio.sleep(RESTART_S)
        new = self._create_backend(place + BACKEND_COUNT, (old.cell + 1) % CELL_COUNT)
        new.told_at = inf
        self._backends.append(new)
        await new.listen(old_entry.address[1])
        old.is_replaced = True
        started_ms = int(time.time() * 1000)
        await asyncio.sleep(LISTED_AFTER_S)
        entry = Entry(f"s{place}-new", old_entry.address, ZONE, started_ms=started_ms, cell=new.cell)
        new.told_at = self._agent.publish(entry).published_at
        await asyncio.sleep(END_NOTICED_AFTER_S - RESTART_S - LISTED_AFTER_S)
        self._agent.publish(Entry(old_entry.id, old_entry.address, ZONE, "gone", cell=old.cell))
