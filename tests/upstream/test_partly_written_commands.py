"""Tests of commands that end while part of them is unsent, and of those that were sent completely."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from ingress.interface import Outcome
from tests.support.peers import (
    Reader,
    ScriptedServer,
    Writer,
    encode_value_reply,
    read_command,
    run_async_test,
    wait_until,
)
from tests.support.pool import COMMAND_PARTS, PoolUnderTest

LARGE_ARGUMENT = b"\r\n$8000000\r\n" + b"x" * 8_000_000 + b"\r\n"


@pytest.mark.parametrize("end_cause", ["reset", "time is up", "client left"])
def test_partly_written_attempt_counts_as_not_executed(end_cause: str) -> None:
    """The connection accepts only part of a large command before the attempt ends in one of three ways."""

    async def body() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            server.setblocking(False)
            pool = PoolUnderTest(server.getsockname())
            attempt = pool.start_attempt(
                timeout_s=0.5 if end_cause == "time is up" else 5.0,
                command_parts=(*COMMAND_PARTS[:2], LARGE_ARGUMENT),
            )
            peer, _ = await loop.sock_accept(server)
            await wait_until(lambda: attempt.connection is not None)
            assert not attempt.is_fully_written()
            if end_cause == "reset":
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                peer.close()
            elif end_cause == "client left":
                pool.pool.cancel_attempt_if_unsent(attempt)
            outcome = Outcome.SUPERSEDED if end_cause == "client left" else Outcome.CONNECT_FAILED
            assert await pool.wait_for_result() == (outcome, None)
            peer.close()
            await wait_until(lambda: pool.pool.connection_count == 0)

    run_async_test(body())


def test_fully_written_attempt_is_not_cancelled_when_its_client_leaves() -> None:
    """The backend may execute the attempt, so the attempt stays in flight until its reply arrives."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        assert len((await read_command(reader))[4]) == 8_000_000
        command_read.set()
        await reply_allowed.wait()
        writer.write(encode_value_reply(b"done"))
        await reader.read()

    command_read = asyncio.Event()
    reply_allowed = asyncio.Event()

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            pool = PoolUnderTest(peer.address)
            attempt = pool.start_attempt(
                command_parts=(COMMAND_PARTS[0].replace(b"*4", b"*5"), COMMAND_PARTS[1], LARGE_ARGUMENT)
            )
            await command_read.wait()
            await wait_until(attempt.is_fully_written)
            pool.pool.cancel_attempt_if_unsent(attempt)
            assert not attempt.has_ended
            reply_allowed.set()
            assert await pool.wait_for_result() == (Outcome.OK, b"done")

    run_async_test(body())
