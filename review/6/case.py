"""A backend vanishes and a new one is listed at its address: where does a keyed request run again?"""

from __future__ import annotations

import asyncio
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
ZONES = ("hall-a", "hall-b", "hall-c")
REQUESTS_PER_S = 60
CONFIRM_SHARE = 0.19
WORK_S = {"slot-search": 0.15, "book-confirm": 0.09}
WARM_UP_S = 6.0
REPLACED = (5, 9, 6, 10)  # backends of the cells 1 and 2, one after another
PAUSE_S = 7.0  # between two replacements
RESTART_S = 0.05  # from the end of the old backend to the start of the new one at its address
ADD_S = 0.45  # from the start of a backend until discovery lists it (`add_s` of the site file)
SILENT_NOTICE_S = 6.1  # until discovery notices that one has vanished (`silent_notice_s`)
WINDOW_S = 1.5  # dedup-window-s of book-confirm
SLACK_S = 0.05  # on sockets every time limit is longer by 50 ms


class Fleet:
    """The backends, and the replacement of single ones."""

    def __init__(self, record: standins.Record, agent: standins.Agent) -> None:
        self.record = record
        self.agent = agent
        self.backends = [
            self.make_backend(f"s-{number:02}", number // CELL_SIZE, ZONES[number % len(ZONES)])
            for number in range(BACKEND_COUNT)
        ]
        self.tasks: set[asyncio.Task[None]] = set()

    def make_backend(self, name: str, cell: int, zone: str) -> standins.Backend:
        """Create a backend whose work depends on the class."""
        backend = standins.Backend(name, cell, zone, 0.0, self.record)
        backend.on_arrival = self.set_work
        return backend

    def set_work(self, backend: standins.Backend, fields: dict[str, str], _: bytes) -> None:
        """Set the work of the request that has just arrived."""
        backend.work_s = WORK_S[fields["c"]]

    def replace_at_next_confirm(self, old: standins.Backend) -> None:
        """Let the backend vanish in the middle of its next keyed request."""

        def vanish(backend: standins.Backend, fields: dict[str, str], _: bytes) -> None:
            self.set_work(backend, fields, b"")
            if fields["c"] == "book-confirm" and not backend.is_hung:
                backend.is_hung = True
                self.record.write(f"backend {backend.name} vanishes: no further sign on open connections")
                task = asyncio.create_task(self.replace(backend))
                self.tasks.add(task)

        old.on_arrival = vanish

    async def replace(self, old: standins.Backend) -> None:
        """Start a new backend at the address; discovery tells of the end of the old one later."""
        old.stop_listening()
        await asyncio.sleep(RESTART_S)
        new = self.make_backend(f"{old.name}-new", old.cell, old.zone)
        self.backends.append(new)
        new.started_ms = int(time.time() * 1000)
        await new.start(old.port)
        await asyncio.sleep(ADD_S)
        self.agent.change(new.entry())
        self.record.write(f"discovery lists {new.name} at the address of {old.name}")
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
    """Return the text of a breach: a keyed request that went on outside of its cell or window."""
    arrivals: dict[bytes, list[tuple[float, standins.Backend]]] = {}
    for backend in fleet.backends:
        for at, _, fields, request_id in backend.arrivals:
            if fields["c"] == "book-confirm":
                arrivals.setdefault(request_id, []).append((at, backend))
    breaches = []
    for request_id, sends in arrivals.items():
        sends.sort(key=lambda send: send[0])
        first_at, first = sends[0]
        for at, backend in sends[1:]:
            if backend.cell != first.cell or at > first_at + WINDOW_S + SLACK_S:
                breaches.append(
                    f"id={request_id.decode()} began at {first.name} (cell {first.cell}) and, "
                    f"{at - first_at:.2f} s later, at {backend.name} (cell {backend.cell})"
                )
    return "; ".join(breaches) or None


async def run(record: standins.Record, directory: Path) -> str | None:
    """Run the case."""
    agent, counter = standins.Agent(), standins.Counter()
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
            send_traffic(ingresses, record, start + WARM_UP_S + PAUSE_S * len(REPLACED))
        )
        await asyncio.sleep(WARM_UP_S)
        for number in REPLACED:
            if standins.has_trouble():
                fleet.replace_at_next_confirm(fleet.backends[number])
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*await traffic)
        for ingress in ingresses:
            for line in ingress.read_log().splitlines():
                record.write(f"log of {ingress.name}: {line}")
    finally:
        await asyncio.gather(*(ingress.stop() for ingress in ingresses))
    return find_broken_rule(fleet)


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, run, 100.0))
