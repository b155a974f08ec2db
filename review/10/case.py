"""A backend vanishes, a cold one of another cell starts at its address, and a complete list names both."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support_2"))

import standins  # noqa: E402

INGRESS_COUNT = 3
BACKEND_COUNT = 12
CELL_SIZE = 4
CELL_COUNT = BACKEND_COUNT // CELL_SIZE
COLD_S = 15.0  # cold-s
START_CAPACITY = 0.16  # start-capacity
ZONES = ("hall-a", "hall-b", "hall-c")
REQUESTS_PER_S = 75
CONFIRM_SHARE = 0.19
WORK_S = {"slot-search": 0.2, "book-confirm": 0.1}
WARM_UP_S = 6.0
WAVES = ((1, 5, 9, 2, 6, 10, 3), (7, 11, 0, 4, 8, 1, 5), (9, 2, 6, 10, 3, 7, 11))  # places of backends
PAUSE_S = 1.0  # between two replacements
WAVE_S = 13.0  # from the last replacement of a wave to its end
RESTART_S = 0.05  # from the end of the old backend to the start of the new one at its address
ADD_S = 0.45  # from the start of a backend until discovery lists it (`add_s` of the site file)
SILENT_NOTICE_S = 12.0  # until discovery notices that one has vanished (`silent_notice_s`)
TOLD_SLACK_S = 0.25  # only what arrives this long after the list was told counts


class Fleet:
    """The backends, and the replacement of single ones."""

    def __init__(self, record: standins.Record, agent: standins.Agent) -> None:
        self.record = record
        self.agent = agent
        self.backends = [
            self.make_backend(f"s-{number:02}", number // CELL_SIZE, ZONES[number % len(ZONES)])
            for number in range(BACKEND_COUNT)
        ]
        self.backend_by_place = dict(enumerate(self.backends))  # the present one at each address
        self.rng = random.Random(2)
        self.told_at: dict[str, float] = {}  # when the list with a new backend was written to the ingresses

    def make_backend(self, name: str, cell: int, zone: str) -> standins.Backend:
        """Create a backend whose work depends on the class."""
        backend = standins.Backend(name, cell, zone, 0.0, self.record)
        backend.on_arrival = self.set_work
        return backend

    def set_work(self, backend: standins.Backend, fields: dict[str, str], _: bytes) -> None:
        """Draw the work of the request that has just arrived (`dist = "exp"` in the site file)."""
        backend.work_s = self.rng.expovariate(1 / WORK_S[fields["c"]])

    async def replace(self, place: int) -> None:
        """Let a backend vanish and a new one start at its address; discovery notices the end late."""
        old = self.backend_by_place[place]
        old.is_hung = True
        old.stop_listening()
        self.record.write(f"backend {old.name} vanishes: no further sign on open connections")
        await asyncio.sleep(RESTART_S)
        new = self.make_backend(f"{old.name}-new", (old.cell + 1) % CELL_COUNT, old.zone)
        new.cold_s, new.cold_from = COLD_S, START_CAPACITY
        new.started_ms = int(time.time() * 1000)
        self.backends.append(new)
        self.backend_by_place[place] = new
        await new.start(old.port)
        old.is_replaced = True
        self.record.write(f"backend {new.name} of cell {new.cell} starts at the address of {old.name}")
        await asyncio.sleep(ADD_S)
        self.agent.change(new.entry())
        self.told_at[new.name] = self.record.now()
        self.record.write(f"discovery lists {new.name}, and {old.name} still")
        await asyncio.sleep(SILENT_NOTICE_S - RESTART_S - ADD_S)
        self.agent.change(old.entry("gone"))
        self.record.write(f"discovery tells that {old.name} is gone")


async def ask(
    ingress: standins.IngressProcess, number: int, class_name: str, record: standins.Record
) -> bool:
    """Send one request as a client; return whether it got an answer."""
    wait_s = 2.4 if class_name == "book-confirm" else 3.9
    request_id = f"{number:016x}"
    reader, writer = await asyncio.open_connection(standins.HOST, ingress.port)
    writer.write(
        standins.make_request(request_id, class_name, int(wait_s * 1000), number % 500, INGRESS_COUNT)
    )
    try:
        reply = await asyncio.wait_for(standins.read_reply(reader), wait_s + 1.0)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
        record.write(f"client id={request_id} c={class_name} no answer: {type(error).__name__}")
        return False
    finally:
        writer.close()
    record.write(f"client id={request_id} c={class_name} answer={reply!r}")
    return True


async def send_traffic(
    ingresses: list[standins.IngressProcess], record: standins.Record, end: float
) -> list[asyncio.Task[bool]]:
    """Send requests at the usual rate until the end."""
    rng = random.Random(1)
    asked: list[asyncio.Task[bool]] = []
    while record.now() < end:
        class_name = "book-confirm" if rng.random() < CONFIRM_SHARE else "slot-search"
        ingress = ingresses[rng.randrange(len(ingresses))]
        asked.append(asyncio.create_task(ask(ingress, len(asked) + 1, class_name, record)))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    return asked


def find_broken_rule(fleet: Fleet) -> str | None:
    """Return the text of a breach: a keyed request that ran at a listed new backend and in another cell."""
    arrivals: dict[bytes, list[tuple[float, standins.Backend]]] = {}
    for backend in fleet.backends:
        for at, _, fields, request_id in backend.arrivals:
            if fields["c"] == "book-confirm":
                arrivals.setdefault(request_id, []).append((at, backend))
    breaches = []
    for request_id, sends in arrivals.items():
        sends.sort(key=lambda send: send[0])
        first_at, first = sends[0]
        told_at = fleet.told_at.get(first.name)
        if told_at is None or first_at < told_at + TOLD_SLACK_S:
            continue
        breaches += [
            f"id={request_id.decode()} began at {first.name} (cell {first.cell}), told "
            f"{first_at - told_at:.2f} s before, and {at - first_at:.2f} s later at {backend.name} "
            f"(cell {backend.cell})"
            for at, backend in sends[1:]
            if backend.cell != first.cell
        ]
    return "; ".join(breaches) or None


async def run(record: standins.Record, directory: Path) -> str | None:
    """Run the case."""
    agent, counter = standins.Agent(), standins.Counter()
    agent.answers_whole_lists = os.environ.get("LISTS", "whole") == "whole"
    await agent.start()
    await counter.start()
    fleet = Fleet(record, agent)
    for backend in list(fleet.backends):
        await backend.start()
    agent.set_entries([backend.entry() for backend in fleet.backends])
    ingresses = [
        standins.IngressProcess(
            index, agent, counter, standins.make_settings(index, INGRESS_COUNT), directory
        )
        for index in range(INGRESS_COUNT)
    ]
    try:
        await asyncio.gather(*(ingress.start() for ingress in ingresses))
        start = record.now()
        traffic = asyncio.create_task(
            send_traffic(
                ingresses, record, start + WARM_UP_S + sum(PAUSE_S * len(wave) + WAVE_S for wave in WAVES)
            )
        )
        replacements: list[asyncio.Task[None]] = []
        await asyncio.sleep(WARM_UP_S)
        for wave in WAVES:
            for number in wave:
                if standins.has_trouble():
                    replacements.append(asyncio.create_task(fleet.replace(number)))
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(WAVE_S)
        await asyncio.gather(*await traffic, *replacements)
        for ingress in ingresses:
            for line in ingress.read_log().splitlines():
                record.write(f"log of {ingress.name}: {line}")
    finally:
        await asyncio.gather(*(ingress.stop() for ingress in ingresses))
    return find_broken_rule(fleet)


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, run, 100.0))
