"""Tests of idle connections: when they are reused, and when they are closed."""

from __future__ import annotations

import asyncio

import pytest

from ingress.interface import Outcome
from ingress.upstream import pool as pool_module
from tests.support.peers import (
    Reader,
    ScriptedServer,
    Writer,
    encode_value_reply,
    make_scripted_backend,
    read_request,
    run_async_test,
    wait_until,
)
from tests.support.pool import PoolUnderTest


def test_most_recently_used_connection_is_reused() -> None:
    async def body() -> None:
        async with make_scripted_backend() as peer:
            pool = PoolUnderTest(peer.address)
            pool.start_attempt()
            pool.start_attempt()
            await pool.wait_for_result(2)
            latest = pool.pool.endpoint_table.contacted_endpoints["s0"].idle_connections[-1]
            pool.clock_offset_s = pool.pool.idle_connections.reuse_delay_s
            attempt = pool.start_attempt()
            assert attempt.connection is latest
            await pool.wait_for_result(3)
            assert peer.connection_count == 2
            assert pool.pool.connection_count == 2

    run_async_test(body())


def test_connection_closed_by_the_backend_is_not_reused() -> None:
    async def script(connection_index: int, reader: Reader, writer: Writer) -> None:
        while True:
            await read_request(reader, writer)
            writer.write(encode_value_reply(b"%d" % connection_index))
            if connection_index == 0:
                return

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            pool = PoolUnderTest(peer.address)
            pool.start_attempt()
            assert await pool.wait_for_result() == (Outcome.OK, b"0")
            await wait_until(lambda: peer.ended_connection_count)
            pool.start_attempt()
            assert await pool.wait_for_result(2) == (Outcome.OK, b"1")

    run_async_test(body())


def test_idle_connection_is_closed_before_the_backend_closes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_module, "SWEEP_INTERVAL_S", 0.01)

    async def body() -> None:
        async with make_scripted_backend() as peer:
            pool = PoolUnderTest(peer.address, idle_timeout_s=15.0)
            pool.start_attempt()
            await pool.wait_for_result()
            swept = asyncio.Event()
            close_expired = pool.pool.idle_connections.close_expired

            def close_expired_and_record(now: float) -> None:
                close_expired(now)
                swept.set()

            monkeypatch.setattr(pool.pool.idle_connections, "close_expired", close_expired_and_record)
            pool.clock_offset_s = 8.0
            await swept.wait()
            assert pool.pool.connection_count == 1
            pool.clock_offset_s = 10.0
            await wait_until(lambda: pool.pool.connection_count == 0 and peer.ended_connection_count)

    run_async_test(body())


def test_idle_timeout_is_shortened_after_an_idle_connection_broke() -> None:
    """A connection that the backend dropped while it was idle resets the attempt that is written to it."""

    async def script(connection_index: int, reader: Reader, writer: Writer) -> None:
        for command_index in range(4):
            await read_request(reader, writer)
            if connection_index == 0 and command_index == 1:
                return
            writer.write(encode_value_reply(b"%d" % connection_index))

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            pool = PoolUnderTest(peer.address)
            pool.start_attempt()
            assert await pool.wait_for_result() == (Outcome.OK, b"0")
            pool.clock_offset_s = 2.0
            pool.start_attempt()
            assert await pool.wait_for_result(2) == (Outcome.RESET, None)
            pool.start_attempt()
            assert await pool.wait_for_result(3) == (Outcome.OK, b"1")
            pool.clock_offset_s = 3.0  # idle for 1 s, less than the connection that broke
            pool.start_attempt()
            assert await pool.wait_for_result(4) == (Outcome.OK, b"1")
            pool.clock_offset_s = 5.0
            pool.start_attempt()
            assert await pool.wait_for_result(5) == (Outcome.OK, b"2")

    run_async_test(body())


def test_connection_is_not_reused_while_a_duplicate_reply_may_arrive() -> None:
    """Duplicate replies arrived up to 4.03 ms after the reply."""

    async def body() -> None:
        async with make_scripted_backend() as peer:
            pool = PoolUnderTest(peer.address)
            now = 100.0
            pool.pool.clock = lambda: now
            pool.start_attempt()
            assert (await pool.wait_for_result())[0] is Outcome.OK
            [connection] = pool.pool.endpoint_table.contacted_endpoints["s0"].idle_connections
            now += 0.0041
            attempt = pool.start_attempt()
            assert connection.attempt is None
            assert attempt.connection is None
            now += 1.0
            assert (await pool.wait_for_result(2))[0] is Outcome.OK
            assert connection.idle_since == now

    run_async_test(body())
