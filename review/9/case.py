"""Hundreds of clients connect and say nothing: do usual clients get their answers?"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support_2"))

import standins  # noqa: E402

BACKEND_COUNT = 9
CELL_SIZE = 3
WORK_S = 0.08
DESCRIPTORS = 256  # "256 to 1,024 descriptors"
USUAL_COUNT = 12  # connections of usual clients; they hold at most a third of the descriptors
PAUSE_S = 0.3  # of a usual client between an answer and its next request
BAD_COUNT = 600  # of a wave: "by hundreds"
WAVES = 5
WAVE_S = 3.0  # from one wave to the next
QUIET_S = 2.0
WAIT_S = 0.25  # what is left to a client's retry
SLACK_S = 0.5  # a later answer only earns nothing
SENDS_PER_REQUEST = 3  # a client sends again what crosses the close of a connection


class UsualClient:
    """A client that keeps its connection, and sends one request after another."""

    def __init__(self, number: int, port: int, record: standins.Record) -> None:
        self.number = number
        self.port = port
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.counts = {"answered": 0, "lost": 0, "not taken": 0}

    async def play(self, end: float) -> None:
        """Send requests until the end."""
        number = 0
        while self.record.now() < end:
            number += 1
            ending = await self.ask(f"{self.number:08x}{number:08x}")
            self.counts[ending] += 1
            await asyncio.sleep(PAUSE_S)
        self.close()

    async def ask(self, request_id: str) -> str:
        """Send one request, and once more if it crossed the close of its connection; return its ending."""
        give_up_at = self.record.now() + WAIT_S + SLACK_S
        for _ in range(SENDS_PER_REQUEST):
            try:
                async with asyncio.timeout(give_up_at - self.record.now()):
                    if self.writer is None:
                        self.reader, self.writer = await asyncio.open_connection(standins.HOST, self.port)
            except TimeoutError:
                self.record.write(f"usual id={request_id}: no connection was established")
                return "not taken"
            is_answered = await self.send(request_id, give_up_at)
            if is_answered is not None:
                return "answered" if is_answered else "lost"
        return "not taken"

    async def send(self, request_id: str, give_up_at: float) -> bool | None:
        """Send the request; return whether an answer came in time, None if the connection was closed."""
        assert self.reader is not None
        assert self.writer is not None
        now = self.record.now()
        wait_ms = max(1, int((give_up_at - SLACK_S - now) * 1000))
        self.writer.write(
            standins.make_request(request_id, "book-confirm", wait_ms, self.number, extra=",r=1")
        )
        try:
            async with asyncio.timeout(give_up_at - now):
                reply = await standins.read_reply(self.reader)
        except TimeoutError:
            self.record.write(f"usual id={request_id}: sent at {now:.3f} on an open connection, no answer")
            self.close()
            return False
        except (ConnectionError, asyncio.IncompleteReadError):
            self.record.write(f"usual id={request_id}: its connection was closed, it is sent again")
            self.close()
            return None
        self.record.write(f"usual id={request_id}: {reply!r} after {self.record.now() - now:.3f} s")
        return True

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def say_nothing(port: int, record: standins.Record) -> None:
    """Connect, say nothing, and read until the ingress ends the connection; do not come back."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(standins.HOST, port)
        try:
            connected_at = record.now()
            with contextlib.suppress(ConnectionError):
                await reader.read()
            record.write(f"silent client: ended after {record.now() - connected_at:.3f} s")
        finally:
            writer.close()


async def send_waves(port: int, record: standins.Record, clients: set[asyncio.Task[None]]) -> None:
    """Let one wave of silent clients after another connect."""
    for number in range(WAVES):
        record.write(f"wave {number}: {BAD_COUNT} clients connect and say nothing")
        clients.update(asyncio.create_task(say_nothing(port, record)) for _ in range(BAD_COUNT))
        await asyncio.sleep(WAVE_S)


async def run(record: standins.Record, directory: Path) -> str | None:
    """Run the case."""
    agent, counter = standins.Agent(), standins.Counter()
    await agent.start()
    await counter.start()
    backends = [
        standins.Backend(f"s-{number:02}", number // CELL_SIZE, "hall-a", WORK_S, record)
        for number in range(BACKEND_COUNT)
    ]
    for backend in backends:
        await backend.start()
    agent.set_entries([backend.entry() for backend in backends])
    ingress = standins.IngressProcess(0, agent, counter, standins.make_settings(0, 1), directory)
    ingress.config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS}
    bad_clients: set[asyncio.Task[None]] = set()
    try:
        await ingress.start()
        end = record.now() + QUIET_S + WAVES * WAVE_S
        usual_clients = [UsualClient(number, ingress.port, record) for number in range(USUAL_COUNT)]
        plays = [asyncio.create_task(client.play(end)) for client in usual_clients]
        await asyncio.sleep(QUIET_S)
        if standins.has_trouble():
            await send_waves(ingress.port, record, bad_clients)
        await asyncio.gather(*plays)
        for line in ingress.read_log().splitlines():
            record.write(f"log of {ingress.name}: {line}")
    finally:
        for task in bad_clients:
            task.cancel()
        await asyncio.gather(*bad_clients, return_exceptions=True)
        await ingress.stop()
    counts = {name: sum(client.counts[name] for client in usual_clients) for name in usual_clients[0].counts}
    record.write(f"requests of usual clients: {counts}")
    if counts["lost"]:
        return f"requests of usual clients that were sent on an open connection: {counts}"
    return None


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, run, 100.0))
