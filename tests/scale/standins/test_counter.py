"""Tests of the stand-in of the counter: totals by name, bounded queues, and malformed calls."""

from __future__ import annotations

import asyncio

import pytest

from scale.standins.counter import CounterServer
from scale.standins.counter_parts import CounterPart
from tests.support.peers import run_async_test, wait_until

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def call_counter(stream: Stream, line: bytes) -> bytes:
    stream[1].write(line + b"\r\n")
    return (await stream[0].readline()).strip()


def test_counter_adds_by_name_and_answers_in_order() -> None:
    async def body() -> None:
        counter = CounterServer(parts=2, calls_per_s=10_000, max_queued_calls=100)
        stream = await asyncio.open_connection(*await counter.listen())
        assert await call_counter(stream, b"add 7 2.5 1000") == b"ok 2.5"
        assert await call_counter(stream, b"add 7 -1 1000") == b"ok 1.5"
        assert await call_counter(stream, b"add 8 1e2 1000") == b"ok 100"
        stream[1].write(b"add 7 1 1000\r\nping\r\nadd 8 1 1000\r\n")
        assert [await stream[0].readline() for _ in range(3)] == [b"ok 2.5\r\n", b"pong\r\n", b"ok 101\r\n"]
        assert (counter.counts.calls, counter.counts.answered) == (5, 5)
        counter.close()

    run_async_test(body())


def test_total_of_a_name_restarts_at_0_after_its_lifetime() -> None:
    async def body() -> None:
        counter = CounterServer(parts=1, calls_per_s=10_000, max_queued_calls=100)
        stream = await asyncio.open_connection(*await counter.listen())
        await call_counter(stream, b"add 7 2 1")
        expires_at = counter.parts[0].totals[b"7"].expires_at
        await wait_until(lambda: counter.loop.time() > expires_at)
        assert await call_counter(stream, b"add 7 1 1000") == b"ok 1"
        counter.close()

    run_async_test(body())


def test_part_accepts_as_many_calls_as_its_queue_holds() -> None:
    part = CounterPart(calls_per_s=50, max_queued_calls=3)
    assert [part.queue_call(100.0) for _ in range(5)] == [
        pytest.approx(100.02),
        pytest.approx(100.04),
        pytest.approx(100.06),
        None,
        None,
    ]
    assert part.queue_call(100.02) == pytest.approx(100.08)
    assert part.queue_call(100.02) is None
    assert part.queue_call(200.0) == pytest.approx(200.02)


def test_calls_are_rejected_while_the_queue_is_full() -> None:
    """The part is taken to be occupied for 1000 s, so that no call is done during the test."""

    async def body() -> None:
        counter = CounterServer(parts=1, calls_per_s=10_000, max_queued_calls=3)
        stream = await asyncio.open_connection(*await counter.listen())
        counter.parts[0].free_at = counter.loop.time() + 1000.0
        stream[1].write(b"add 7 1 1000\r\n" * 10)
        assert [await stream[0].readline() for _ in range(10)] == [b"busy\r\n"] * 10
        assert (counter.counts.answered, counter.counts.busy) == (0, 10)
        counter.close()

    run_async_test(body())


@pytest.mark.parametrize(
    "line",
    [
        b"add",
        b"add 7 x 1000",
        b"add 7 1 0",
        b"add 7 1.2.3 5",
        b"add 7 1e10 5",
        b"add " + b"n" * 65 + b" 1 5",
        b"sub 7 1 5",
        b"\xff",
    ],
)
def test_malformed_call_is_answered_with_error_and_adds_nothing(line: bytes) -> None:
    async def body() -> None:
        counter = CounterServer(parts=1, calls_per_s=1000, max_queued_calls=9)
        stream = await asyncio.open_connection(*await counter.listen())
        assert await call_counter(stream, line) == b"error"
        assert not counter.parts[0].totals
        counter.close()

    run_async_test(body())
