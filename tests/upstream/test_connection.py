"""Tests of a connection to a backend: replies, their ends, and bytes that belong to no reply."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from ingress.interface import Outcome
from ingress.upstream.attempt import Attempt
from ingress.upstream.connection import BackendConnection
from tests.support.peers import (
    Reader,
    ScriptedServer,
    Writer,
    encode_value_reply,
    make_scripted_backend,
    read_command,
    run_async_test,
)
from tests.support.pool import COMMAND_PARTS, PoolUnderTest

BINARY_VALUE = bytes(range(256)) * 256


@pytest.mark.parametrize(
    ("reply", "outcome", "value"),
    [
        (encode_value_reply(b"hello"), Outcome.OK, b"hello"),
        (encode_value_reply(b""), Outcome.OK, b""),
        (encode_value_reply(BINARY_VALUE), Outcome.OK, BINARY_VALUE),
        (
            encode_value_reply(BINARY_VALUE * 6),
            Outcome.OK,
            BINARY_VALUE * 6,
        ),  # six times the 64 KiB limit of commands
        (b"*3\r\n$2\r\nok\r\n$1\r\n4\r\n$10\r\ninflight=7\r\n", Outcome.OK, b"ok"),
        (b"-ERR failed\r\n", Outcome.ERROR, None),
        (b"-ERR failed inflight=7,queue=2\r\n", Outcome.ERROR, None),
        (b"-SYNTAX\r\n", Outcome.ERROR, None),
        (b"-BUSY\r\n", Outcome.REJECTED, None),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", Outcome.ERROR, None),
        (b"*-1\r\n", Outcome.ERROR, None),
        (b"*0\r\n", Outcome.ERROR, None),
        (b"$5\r\nhello\r\n", Outcome.ERROR, None),
        (b"hello\r\n", Outcome.ERROR, None),
    ],
)
def test_reply_determines_outcome_and_value(reply: bytes, outcome: Outcome, value: bytes | None) -> None:
    async def body() -> None:
        async with make_scripted_backend(reply) as peer:
            pool = PoolUnderTest(peer.address)
            pool.start_attempt()
            assert await pool.wait_for_result() == (outcome, value)

    run_async_test(body())


def test_command_is_forwarded_unchanged_except_for_the_remaining_time() -> None:
    async def body() -> None:
        async with make_scripted_backend() as peer:
            pool = PoolUnderTest(peer.address)
            argument = b"$%d\r\n%b\r\n" % (len(BINARY_VALUE), BINARY_VALUE)
            pool.start_attempt(
                timeout_s=1.0,
                command_parts=(COMMAND_PARTS[0].replace(b"*4", b"*5"), COMMAND_PARTS[1], b"\r\n" + argument),
            )
            assert await pool.wait_for_result() == (Outcome.OK, b"r1")
            [arguments] = peer.received_commands
            fields = arguments[3].split(b",")
            assert arguments[:3] == [b"API.READ", b"c7", b"r1"]
            assert arguments[4] == BINARY_VALUE
            assert fields[0] == b"c=read"
            assert fields[2:] == [b"t=basic", b"x=9"]
            assert fields[1].startswith(b"d=")
            assert 1 <= int(fields[1][2:]) <= 1000

    run_async_test(body())


@pytest.mark.parametrize("partial_reply", [b"", b"*3\r\n$5\r\nhel"])
def test_connection_closed_before_the_complete_reply_is_a_reset(partial_reply: bytes) -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await read_command(reader)
        writer.write(partial_reply)

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            pool = PoolUnderTest(peer.address)
            pool.start_attempt()
            assert await pool.wait_for_result() == (Outcome.RESET, None)
            assert pool.pool.connection_count == 0

    run_async_test(body())


@pytest.mark.parametrize("is_cancelled", [True, False])
def test_abandoned_attempt_closes_its_connection_before_its_outcome_is_reported(is_cancelled: bool) -> None:
    """Two attempts of a request must not be in flight together, even for one iteration of the event loop."""

    async def body() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            pool = PoolUnderTest(server.getsockname())
            received_after_close: list[bytes] = []

            def record_end(
                attempt: Attempt, outcome: Outcome, value: bytes | None, load_report: dict[str, float]
            ) -> None:
                pool.record_result(attempt, outcome, value, load_report)
                received_after_close.append(peer.recv(100))

            pool.pool.on_attempt_end = record_end
            attempt = pool.start_attempt(timeout_s=5.0 if is_cancelled else 0.2)
            peer, _ = await loop.sock_accept(server)
            peer.setblocking(False)
            assert (await loop.sock_recv(peer, 4096)).endswith(b"\r\n")
            if is_cancelled:
                pool.pool.cancel_attempt(attempt)
            assert (await pool.wait_for_result())[0] is (
                Outcome.CANCELLED if is_cancelled else Outcome.TIMEOUT
            )
            assert received_after_close == [b""]
            peer.close()

    run_async_test(body())


def test_unsolicited_second_reply_closes_the_connection() -> None:
    """Guard against passing the second reply to another request."""

    async def body() -> None:
        async with make_scripted_backend(encode_value_reply(b"one") + encode_value_reply(b"two")) as peer:
            pool = PoolUnderTest(peer.address)
            pool.start_attempt()
            assert await pool.wait_for_result() == (Outcome.OK, b"one")
            assert pool.pool.connection_count == 0

    run_async_test(body())


class ReuseDelayHoldingLoop:
    """The running event loop, except that calls scheduled after the reuse delay run in `run_held_calls`."""

    def __init__(self, reuse_delay_s: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.reuse_delay_s = reuse_delay_s
        self.held_calls: list[Callable[[], object]] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    def call_later(self, delay_s: float, callback: Callable[..., object], *args: Any) -> Any:
        """Hold the call if its delay is the reuse delay; pass any other call to the event loop."""
        if delay_s != self.reuse_delay_s:
            return self.loop.call_later(delay_s, callback, *args)
        self.held_calls.append(partial(callback, *args))
        return None

    def run_held_calls(self) -> None:
        """Run the calls that were held."""
        for call in self.held_calls:
            call()


def test_extra_bytes_in_a_later_read_are_not_taken_for_the_next_reply(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection is not reused before its reuse delay is over, even if the next attempt starts earlier.

    The test ends the delay only after the extra bytes were read, however late the backend sends them.
    """
    first_attempt_ended = asyncio.Event()
    extra_bytes_read = asyncio.Event()
    data_received = BackendConnection.data_received

    def receive_and_record_extra_bytes(connection: BackendConnection, data: bytes) -> None:
        data_received(connection, data)
        if b"noise" in data:
            extra_bytes_read.set()

    async def script(connection_index: int, reader: Reader, writer: Writer) -> None:
        while True:
            await read_command(reader)
            writer.write(encode_value_reply(b"%d" % connection_index))
            if connection_index == 0:
                await first_attempt_ended.wait()
                writer.write(encode_value_reply(b"noise"))

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            pool = PoolUnderTest(peer.address)
            reuse_delay_s = pool.pool.idle_connections.reuse_delay_s
            holding_loop = ReuseDelayHoldingLoop(reuse_delay_s)
            now = pool.pool.clock()
            pool.pool.clock = lambda: now + pool.clock_offset_s
            pool.pool.loop = holding_loop  # type: ignore[assignment]
            record_result = pool.pool.on_attempt_end

            def record_end(*args: Any) -> None:
                record_result(*args)
                if len(pool.results) == 1:
                    pool.start_attempt()
                    first_attempt_ended.set()

            pool.pool.on_attempt_end = record_end
            pool.start_attempt()
            assert await pool.wait_for_result() == (Outcome.OK, b"0")
            await extra_bytes_read.wait()
            pool.clock_offset_s = 2 * reuse_delay_s
            holding_loop.run_held_calls()
            assert await pool.wait_for_result(2) == (Outcome.OK, b"1")

    monkeypatch.setattr(BackendConnection, "data_received", receive_and_record_extra_bytes)
    run_async_test(body())
