"""Late duplicates of replies: none passes for the reply to the next command on its connection."""

from __future__ import annotations

import pytest

from ingress.interface import Outcome
from ingress.upstream.replies import BackendReply
from ingress.upstream.reply_matcher import MAX_REMEMBERED_REPLIES, ReplyMatcher
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

BUSY = b"-BUSY\r\n"
FAILED = b"-ERR failed\r\n"
PONG = b"+PONG\r\n"
VALUE_A, VALUE_B = encode_value_reply(b"value of a"), encode_value_reply(b"value of b")
BUSY_RESULT = (Outcome.REJECTED, None)
FAILED_RESULT = (Outcome.ERROR, None)
A_RESULT, B_RESULT = (Outcome.OK, b"value of a"), (Outcome.OK, b"value of b")


class DuplicatingBackend(ScriptedServer):
    """A backend that answers each request on its first connection with the next item of `answers`.

    An item is written when its request has been read, and may hold more than one reply.  On a further
    connection, each request is answered with the value b"other connection".
    """

    def __init__(self, *answers: bytes, ping_answer: bytes = PONG) -> None:
        super().__init__(self._serve_connection)
        self.answers = list(answers)
        self.ping_answer = ping_answer
        self.ping_count = 0

    async def _serve_connection(self, number: int, reader: Reader, writer: Writer) -> None:
        while True:
            if await read_command(reader) == [b"PING"]:
                self.ping_count += 1
                writer.write(self.ping_answer)
            elif number:
                writer.write(encode_value_reply(b"other connection"))
            else:
                writer.write(self.answers.pop(0))


async def run_attempts(
    backend: DuplicatingBackend, count: int, timeout_s: float = 5.0
) -> list[tuple[Outcome, bytes | None]]:
    """Run attempts one after the other on the same connection, as long as it is open."""
    pool = PoolUnderTest(backend.address)
    results = []
    for number in range(1, count + 1):
        pool.clock_offset_s += pool.pool.idle_connections.reuse_delay_s
        pool.start_attempt(timeout_s=timeout_s)
        results.append(await pool.wait_for_result(number))
    return results


@pytest.mark.parametrize(
    ("duplicate", "first_result"),
    [(VALUE_A, A_RESULT), (BUSY, BUSY_RESULT), (FAILED, FAILED_RESULT)],
    ids=["value twice", "busy twice", "failed twice"],
)
@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("rest", [VALUE_B, BUSY, FAILED], ids=["then value", "then busy", "then failed"])
def test_duplicate_that_arrives_after_the_next_command_is_not_taken_for_its_reply(
    duplicate: bytes, first_result: tuple[Outcome, bytes | None], count: int, rest: bytes
) -> None:
    """Guards against serving a client the value of another customer's request.

    The same for a duplicate rejection, after which a request that still runs would be sent again.
    """
    expected = {VALUE_B: B_RESULT, BUSY: BUSY_RESULT, FAILED: FAILED_RESULT}[rest]

    async def body() -> None:
        async with DuplicatingBackend(duplicate, duplicate * count + rest) as backend:
            assert await run_attempts(backend, 3) == [
                first_result,
                expected,
                (Outcome.OK, b"other connection"),
            ]

    run_async_test(body())


def test_duplicate_of_an_older_reply_is_not_taken_for_the_reply() -> None:
    async def body() -> None:
        async with DuplicatingBackend(VALUE_A, VALUE_B, VALUE_A + encode_value_reply(b"c")) as backend:
            assert await run_attempts(backend, 3) == [A_RESULT, B_RESULT, (Outcome.OK, b"c")]

    run_async_test(body())


@pytest.mark.parametrize(
    "ping_answer", [PONG, b"-ERR overloaded\r\n", b"-NOPERM\r\n"], ids=["pong", "error", "no permission"]
)
@pytest.mark.parametrize(
    ("answer", "result"), [(VALUE_A, A_RESULT), (BUSY, BUSY_RESULT)], ids=["value", "busy"]
)
def test_equal_replies_to_different_commands_are_confirmed_and_the_connection_stays_in_use(
    answer: bytes, result: tuple[Outcome, bytes | None], ping_answer: bytes
) -> None:
    async def body() -> None:
        async with DuplicatingBackend(answer, answer, answer, ping_answer=ping_answer) as backend:
            assert await run_attempts(backend, 3) == [result] * 3
            assert backend.connection_count == 1
            assert backend.ping_count == 2

    run_async_test(body())


def test_no_ping_is_sent_while_replies_differ() -> None:
    async def body() -> None:
        values = [encode_value_reply(b"%d" % number) for number in range(4)]
        async with DuplicatingBackend(*values) as backend:
            await run_attempts(backend, 4)
            assert backend.connection_count == 1
            assert backend.ping_count == 0

    run_async_test(body())


def test_value_that_is_not_confirmed_in_time_is_not_served() -> None:
    async def body() -> None:
        async with DuplicatingBackend(VALUE_A, VALUE_A, ping_answer=b"") as backend:
            assert await run_attempts(backend, 2, timeout_s=0.2) == [A_RESULT, (Outcome.TIMEOUT, None)]

    run_async_test(body())


def test_connection_that_ends_before_a_held_reply_is_confirmed_is_a_reset() -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        for _ in range(2):
            await read_command(reader)
            writer.write(VALUE_A)
        await read_command(reader)

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            pool = PoolUnderTest(peer.address)
            idle_timeout_s = pool.pool.idle_connections.idle_timeout_s
            pool.start_attempt()
            assert await pool.wait_for_result() == A_RESULT
            pool.clock_offset_s = 1.0
            pool.start_attempt()
            assert await pool.wait_for_result(2) == (Outcome.RESET, None)
            assert pool.pool.idle_connections.idle_timeout_s == idle_timeout_s

    run_async_test(body())


def test_duplicate_that_arrives_before_the_command_is_fully_written_is_no_reply() -> None:
    """The command cannot have been executed, so it may be sent again whatever its class is."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await read_command(reader)
        writer.write(VALUE_A)
        await reader.readexactly(100)  # of the next command, whose rest is not read
        writer.write(BUSY)
        await wait_until(lambda: len(pools[0].results) > 1)

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            pool = PoolUnderTest(peer.address)
            pools.append(pool)
            pool.start_attempt()
            assert await pool.wait_for_result() == A_RESULT
            pool.clock_offset_s = 1.0
            before, fields, _ = COMMAND_PARTS
            pool.start_attempt(command_parts=(before, fields, b"\r\n" + bytes(30_000_000)))
            assert await pool.wait_for_result(2) == (Outcome.CONNECT_FAILED, None)

    pools: list[PoolUnderTest] = []
    run_async_test(body())


def test_number_of_remembered_replies_is_limited() -> None:
    matcher = ReplyMatcher()
    replies = [BackendReply(Outcome.OK, b"%d" % n, {}) for n in range(MAX_REMEMBERED_REPLIES + 1)]
    for reply in replies:
        assert matcher.match(reply) is reply
        matcher.remember(reply)
    assert matcher.match(replies[0]) is replies[0]
    assert matcher.match(replies[1]) is None


def test_reply_with_another_load_report_is_a_repeated_one() -> None:
    matcher = ReplyMatcher()
    matcher.remember(BackendReply(Outcome.OK, b"a", {"active": 1.0}))
    assert matcher.match(BackendReply(Outcome.OK, b"a", {"active": 2.0})) is None


def test_values_that_differ_at_one_end_are_not_repeated_ones() -> None:
    matcher = ReplyMatcher()
    matcher.remember(BackendReply(Outcome.OK, b"a" + b"x" * 1000 + b"a", {}))
    for value in (b"a" + b"x" * 1000 + b"b", b"b" + b"x" * 1000 + b"a", b"a" + b"x" * 999 + b"a"):
        reply = BackendReply(Outcome.OK, value, {})
        assert matcher.match(reply) is reply
