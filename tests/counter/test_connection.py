"""Tests of one connection to the counter: the encoding of calls, and the replies and their order."""

from __future__ import annotations

import pytest

from ingress.interface import Outcome
from tests.support.counter import CounterClientUnderTest, make_scripted_counter
from tests.support.peers import Reader, ScriptedServer, Writer, run_async_test, wait_until

MALFORMED_REPLIES = (
    b"what\r\n",
    b"ok\r\n",
    b"ok nan\r\n",
    b"ok inf\r\n",
    b"ok 1_0\r\n",
    b"ok 1e\r\n",
    b"\xff\xfe\r\n",
    b"\r\n",
    b"x" * 300,
)


@pytest.mark.parametrize(
    ("reply", "outcome", "total"),
    [
        (b"ok 41.5\r\n", Outcome.OK, 41.5),
        (b"ok -3\r\n", Outcome.OK, -3.0),
        (b"busy\r\n", Outcome.REJECTED, 0.0),
        (b"error\r\n", Outcome.REJECTED, 0.0),
        (b"ok 1.5e+03\r\n", Outcome.OK, 1500.0),
        *((reply, Outcome.TIMEOUT, 0.0) for reply in MALFORMED_REPLIES),
    ],
)
def test_reply_is_reported_with_its_outcome_and_total(reply: bytes, outcome: Outcome, total: float) -> None:
    async def body() -> None:
        async with make_scripted_counter(reply) as peer:
            caller = CounterClientUnderTest(peer.address)
            caller.start_call()
            assert await caller.wait_for_reply() == (7, outcome, total)

    run_async_test(body())


@pytest.mark.parametrize("reply", MALFORMED_REPLIES)
def test_connection_with_a_malformed_reply_is_not_used_again(reply: bytes) -> None:
    async def script(connection_index: int, reader: Reader, writer: Writer) -> None:
        while await reader.readline():
            writer.write(b"ok 5\r\n" if connection_index else reply + b"ok 99\r\n")

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            caller = CounterClientUnderTest(peer.address)
            caller.start_call()
            assert (await caller.wait_for_reply())[1] is Outcome.TIMEOUT
            caller.start_call()
            assert await caller.wait_for_reply(2) == (7, Outcome.OK, 5.0)

    run_async_test(body())


@pytest.mark.parametrize(
    ("amount", "lifetime_s", "line"),
    [
        (1.0, 60.0, b"add 7 1 60000\r\n"),
        (-2.5, 4.0, b"add 7 -2.5 4000\r\n"),
        (0.0, 0.0, b"add 7 0 1\r\n"),
        (1e-7, 99.0, b"add 7 0 60000\r\n"),
        (1e8, 1.0, b"add 7 100000000 1000\r\n"),
    ],
)
def test_call_is_encoded_as_an_add_line(amount: float, lifetime_s: float, line: bytes) -> None:
    async def body() -> None:
        async with make_scripted_counter() as peer:
            caller = CounterClientUnderTest(peer.address)
            caller.start_call(7, amount, lifetime_s)
            await wait_until(lambda: peer.received_commands)
            assert peer.received_commands == [[line]]

    run_async_test(body())


def test_calls_are_pipelined_on_one_connection_and_matched_to_replies_in_order() -> None:
    callers: list[CounterClientUnderTest] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        for _ in range(3):
            peer.received_commands.append([await reader.readline()])
        writer.write(b"ok 1\r\nbu")
        await wait_until(lambda: callers[0].replies)
        writer.write(b"sy\r\nok 3\r\n")
        await reader.read()

    async def body() -> None:
        async with peer:
            caller = CounterClientUnderTest(peer.address)
            callers.append(caller)
            for name in (1, 2, 3):
                caller.start_call(name)
            await caller.wait_for_reply(3)
            assert [(reply.name, reply.outcome, reply.total) for reply in caller.replies] == [
                (1, Outcome.OK, 1.0),
                (2, Outcome.REJECTED, 0.0),
                (3, Outcome.OK, 3.0),
            ]
            assert peer.connection_count == 1

    peer = ScriptedServer(script)
    run_async_test(body())


def test_late_reply_is_not_matched_to_the_next_call() -> None:
    callers: list[CounterClientUnderTest] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await reader.readline()
        await wait_until(lambda: callers[0].replies)
        callers[0].client.timeout_s = 5.0
        callers[0].start_call(2)
        await reader.readline()
        writer.write(b"ok 100\r\nok 200\r\n")
        await reader.read()

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            caller = CounterClientUnderTest(peer.address, timeout_s=0.2)
            callers.append(caller)
            caller.start_call(1)
            assert await caller.wait_for_reply() == (1, Outcome.TIMEOUT, 0.0)
            assert await caller.wait_for_reply(2) == (2, Outcome.OK, 200.0)

    run_async_test(body())


def test_connection_closed_during_a_call_reports_a_timeout_and_is_replaced() -> None:
    """The counter may have added the units, so the outcome must not say that it has not."""

    async def script(connection_index: int, reader: Reader, writer: Writer) -> None:
        await reader.readline()
        if connection_index == 1:
            writer.write(b"ok 5\r\n")
            await reader.read()

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            caller = CounterClientUnderTest(peer.address)
            caller.start_call()
            assert await caller.wait_for_reply() == (7, Outcome.TIMEOUT, 0.0)
            caller.start_call()
            assert await caller.wait_for_reply(2) == (7, Outcome.OK, 5.0)

    run_async_test(body())
