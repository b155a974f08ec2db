"""Tests of malformed and incomplete replies of a backend."""

from __future__ import annotations

import logging

import pytest

from ingress.interface import Outcome
from tests.support.peers import (
    make_scripted_backend,
    run_async_test,
    wait_until,
)
from tests.support.pool import PoolUnderTest


@pytest.mark.parametrize(
    "malformed",
    [
        b"*1000000000\r\n",
        b"*3\r\n$3000000000\r\nxx",
        b"*3\r\n$1048577\r\n",
        b"x" * 100,
        b"*2\r\n$1\r\nx\r\n$-1\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$2\r\nvalue\r\n",
        b"-SYNTAX\r\n",
        b"-ERR what\r\n",
        b"-" + b"x" * 2000,
        b"*3\r\n*3\r\n",
        b"+OK\r\n",
        b"$5\r\nhello\r\n",
        b"-\xff\xfe\r\n",
        b"*3\r\n$1\r\nx\r\n$-2\r\n",
        b"*x\r\n",
    ],
)
def test_malformed_reply_is_an_error_and_closes_the_connection(malformed: bytes) -> None:
    """The backend may have executed the attempt, so the outcome must not say that it has not."""

    async def body() -> None:
        async with make_scripted_backend(malformed) as peer:
            pool = PoolUnderTest(peer.address)
            pool.start_attempt()
            assert await pool.wait_for_result() == (Outcome.ERROR, None)
            assert pool.pool.connection_count == 0
            assert pool.pool.reply_buffer.used_bytes == 0
            await wait_until(lambda: peer.ended_connection_count)

    run_async_test(body())


def test_malformed_replies_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    async def body() -> None:
        async with make_scripted_backend(b"-SYNTAX\r\n") as peer:
            pool = PoolUnderTest(peer.address)
            pool.start_attempt()
            await pool.wait_for_result()

    with caplog.at_level(logging.WARNING):
        run_async_test(body())
    [record] = caplog.records
    assert record.getMessage() == "upstream reply malformed backend=s0 reason=b'-SYNTAX\\r\\n' count=1"


def test_incomplete_replies_are_limited_over_all_connections_together() -> None:
    async def body() -> None:
        async with make_scripted_backend(b"*3\r\n$900000\r\n" + b"x" * 800_000) as peer:
            pool = PoolUnderTest(peer.address)
            pool.pool.reply_buffer.max_bytes = 1_000_000
            first = pool.start_attempt()
            await wait_until(lambda: pool.pool.reply_buffer.used_bytes > 800_000)
            pool.start_attempt()
            assert await pool.wait_for_result() == (Outcome.ERROR, None)
            assert pool.results[0].attempt_number == 1
            assert 800_000 < pool.pool.reply_buffer.used_bytes < 1_000_000
            pool.pool.cancel_attempt(first)
            assert pool.pool.reply_buffer.used_bytes == 0

    run_async_test(body())
