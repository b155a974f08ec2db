"""A bad client sends the id of a request that another client has open behind one that takes long."""

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
WORK_S = 0.15
LONG_WORK_S = 0.8  # of the first request on the connection
ROUNDS = 10
CLASS_NAME = "book-confirm"
COMMAND_COUNT = 4  # that the usual client sends at once
WARM_UP_COUNT = 300
WAIT_MS = 2400
ANSWER_SLACK_S = 0.5  # a later answer only earns nothing
BAD_AFTER_S = 0.35  # from the usual client's commands to the one of the bad client
BAD_ANSWER_S = 3.0  # within which a bad client is owed an error or a close


def set_work(backend: standins.Backend, _: dict[str, str], request_id: bytes) -> None:
    """Let the first request of each round take longer than the others."""
    number, part = int(request_id[:8], 16), int(request_id[8:], 16)
    backend.work_s = LONG_WORK_S if number < ROUNDS and part == 0 else WORK_S


async def read_answers(
    reader: asyncio.StreamReader, ids: list[str], record: standins.Record, who: str
) -> dict[str, object]:
    """Read the answer to each id, in their order, as long as a client waits."""
    answers: dict[str, object] = {}
    try:
        async with asyncio.timeout(WAIT_MS / 1000 + ANSWER_SLACK_S):
            for request_id in ids:
                answers[request_id] = await standins.read_reply(reader)
                record.write(f"{who} got for id={request_id}: {answers[request_id]!r}")
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
        record.write(f"{who} got no further answer: {type(error).__name__}")
    return answers


async def warm_up(port: int, record: standins.Record) -> None:
    """Send usual requests one after another on some connections."""

    async def ask(connection: int) -> None:
        reader, writer = await asyncio.open_connection(standins.HOST, port)
        for number in range(WARM_UP_COUNT // 10):
            request_id = f"{connection + 4096:08x}{number:08x}"
            writer.write(standins.make_request(request_id, "slot-search", WAIT_MS, connection))
            await standins.read_reply(reader)
        writer.close()

    await asyncio.gather(*(ask(connection) for connection in range(10)))
    record.write(f"warmed up with {WARM_UP_COUNT} requests")


async def play_round(
    port: int, number: int, backends: list[standins.Backend], record: standins.Record
) -> str | None:
    """Let a usual client send many commands at once and a bad client the id of the last one."""
    reader, writer = await asyncio.open_connection(standins.HOST, port)
    ids = [f"{number:08x}{part:08x}" for part in range(COMMAND_COUNT)]
    for part, request_id in enumerate(ids):
        writer.write(standins.make_request(request_id, CLASS_NAME, WAIT_MS, 100 + part))
    record.write(f"usual client sends {COMMAND_COUNT} requests at once, the last is id={ids[-1]}")
    answers = asyncio.create_task(read_answers(reader, ids, record, "usual client"))
    bad_answer: object = None
    if standins.has_trouble():
        await asyncio.sleep(BAD_AFTER_S)
        bad_reader, bad_writer = await asyncio.open_connection(standins.HOST, port)
        bad_writer.write(standins.make_request(ids[-1], CLASS_NAME, WAIT_MS, 4000))
        record.write(f"bad client sends a request with id={ids[-1]}, which is open")
        try:
            bad_answer = await asyncio.wait_for(standins.read_reply(bad_reader), BAD_ANSWER_S)
            record.write(f"bad client got {bad_answer!r}")
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            record.write(f"bad client got no answer: {type(error).__name__}")
        is_open = not answers.done()
        record.write(f"the usual client's request is {'still' if is_open else 'not'} open")
        bad_writer.close()
    last_answer = (await answers).get(ids[-1])
    writer.close()
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()
    if isinstance(bad_answer, bytes):
        runs = sum(sent[3] == ids[-1].encode() for backend in backends for sent in backend.arrivals)
        return f"id={ids[-1]}: ran {runs} times, the bad client got {bad_answer!r}, its owner {last_answer!r}"
    return None


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
        backend.on_arrival = set_work
        await backend.start()
    agent.set_entries([backend.entry() for backend in backends])
    ingress = standins.IngressProcess(0, agent, counter, standins.make_settings(0, 1), directory)
    breaches = []
    try:
        await ingress.start()
        await warm_up(ingress.port, record)
        for number in range(ROUNDS):
            result = await play_round(ingress.port, number, backends, record)
            if result:
                breaches.append(result)
            await asyncio.sleep(1.0)
        for line in ingress.read_log().splitlines():
            record.write(f"log of {ingress.name}: {line}")
    finally:
        await ingress.stop()
    return "; ".join(breaches) or None


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, run, 100.0))
