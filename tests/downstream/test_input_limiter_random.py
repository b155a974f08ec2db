"""Random clients before an ingress with little memory for input; seeded, so a failure can be repeated."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from ingress.downstream import connection, input_limiter
from ingress.downstream.command_buffer import MAX_COMMAND_BYTES
from ingress.process.ingress import Ingress
from tests.support.ingress import running_ingress_before
from tests.support.peers import (
    Address,
    Reader,
    RespClient,
    ScriptedServer,
    Writer,
    encode_value_reply,
    make_command,
    read_request,
    run_async_test,
)

MAX_INPUT_BYTES = 1024 * 1024  # the smallest budget that a configuration gives
MAX_READ_BYTES = 256_000  # the event loop reads at most this much from a connection at once
BATCH_COUNT = 4
WAIT_MS = 4000  # twice the deadline of the classes, the longest wait that is accepted
BAD_CLIENT_TIMEOUT_S = 3.0  # a client that stops in the middle of a command gets its error or close within


@dataclass(slots=True)
class Observations:
    """What the clients of one run have seen."""

    answered: list[tuple[str, object]] = field(default_factory=list)  # request id and reply, in order
    lost: list[str] = field(default_factory=list)  # ids of complete commands whose connection was closed
    waits_of_stalled_clients_s: list[float] = field(default_factory=list)
    most_used_bytes: int = 0


def make_slow_backend(rng: random.Random) -> ScriptedServer:
    """Return a backend that echoes request ids after a random time."""

    async def serve(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            arguments = await read_request(reader, writer)
            await asyncio.sleep(rng.uniform(0.0, 0.02))
            writer.write(encode_value_reply(arguments[2]))

    return ScriptedServer(serve)


async def write_in_pieces(writer: Writer, data: bytes, rng: random.Random) -> None:
    while data:
        size = rng.choice((50, 2_000, 20_000, 200_000))
        writer.write(data[:size])
        data = data[size:]
        await asyncio.sleep(rng.choice((0.0, 0.0, 0.002)))


async def run_usual_client(address: Address, name: str, rng: random.Random, seen: Observations) -> None:
    """Send batches of commands, some of them large, and wait for all replies of a batch before the next."""
    client = await RespClient.connect(address)
    for batch in range(BATCH_COUNT):
        ids = [f"{name}-{batch}-{number}" for number in range(rng.randrange(1, 40))]
        data = b"".join(
            make_command(request_id, "order", WAIT_MS, body=b"b" * rng.choice((10, 10, 10, 60_000)))
            for request_id in ids
        )
        sending = asyncio.create_task(write_in_pieces(client.writer, data, rng))
        for position, request_id in enumerate(ids):
            try:
                seen.answered.append((request_id, await client.read_reply()))
            except (EOFError, ConnectionError):
                seen.lost += ids[position:]
                return
        await sending


async def run_stalled_client(address: Address, rng: random.Random, seen: Observations) -> None:
    """Send part of a command and wait for the error or the close."""
    client = await RespClient.connect(address)
    command = make_command("stalled", "order", body=b"x" * 65_000)
    client.writer.write(command[: rng.randrange(1, len(command))])
    loop = asyncio.get_running_loop()
    start = loop.time()
    await client.reader.read()
    seen.waits_of_stalled_clients_s.append(loop.time() - start)


@asynccontextmanager
async def watching_input(ingress: Ingress, seen: Observations) -> AsyncIterator[None]:
    async def watch() -> None:
        while True:
            seen.most_used_bytes = max(seen.most_used_bytes, ingress.listener.input_budget.used_bytes)
            await asyncio.sleep(0)

    task = asyncio.create_task(watch())
    yield
    task.cancel()


@pytest.mark.parametrize("seed", range(4))
def test_random_clients_get_all_replies_while_others_stall_above_the_input_budget(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against losing complete commands, exceeding the memory, and waiting for ever, in any order."""
    monkeypatch.setattr(connection, "MAX_PIPELINED", 8)
    # Longer than any pause of this process, so that only the clients that stop count as stalled.
    monkeypatch.setattr(input_limiter, "STALLED_AFTER_S", 1.0)
    rng = random.Random(seed)
    seen = Observations()

    async def body() -> None:
        backend = make_slow_backend(rng)
        async with backend, running_ingress_before(backend) as (ingress, address):
            ingress.listener.input_budget.max_bytes = MAX_INPUT_BYTES
            async with watching_input(ingress, seen), asyncio.TaskGroup() as clients:
                for number in range(12):
                    clients.create_task(run_usual_client(address, f"c{number}", rng, seen))
                for _ in range(30):
                    clients.create_task(run_stalled_client(address, rng, seen))
            assert not ingress.listener.input_budget.used_bytes
            assert not ingress.listener.input_limiter.is_suspended

    run_async_test(body())
    assert not seen.lost
    assert [reply for request_id, reply in seen.answered if reply != request_id.encode()] == []
    assert max(seen.waits_of_stalled_clients_s) < BAD_CLIENT_TIMEOUT_S
    assert seen.most_used_bytes <= MAX_INPUT_BYTES + MAX_COMMAND_BYTES + MAX_READ_BYTES
