"""Tests of the counter's client: slow, silent and idle connections, and changes of address."""

from __future__ import annotations

import pytest

from ingress.counter import client as client_module
from ingress.interface import Outcome
from tests.support.counter import CounterClientUnderTest, make_scripted_counter
from tests.support.peers import Reader, ScriptedServer, Writer, run_async_test, wait_until
from tests.support.sockets import find_refusing_address, unresponsive_address


def test_slow_call_does_not_delay_other_calls() -> None:
    """Guard against calls that wait behind a slow call.

    Replies on one connection come in the order of the calls, so the calls after a slow one use further
    connections, up to the limit.
    """

    async def script(connection_index: int, reader: Reader, writer: Writer) -> None:
        while b"add 1 " not in await reader.readline():
            writer.write(b"ok 5\r\n")
        await reader.read()

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            caller = CounterClientUnderTest(peer.address)
            caller.start_call(1)
            await wait_until(lambda: caller.client.connections)
            caller.start_call(2)  # waits behind call 1, as the second connection is not open yet
            await wait_until(lambda: len(caller.client.connections) == 2)
            for name in range(3, 20):
                caller.start_call(name)
                await caller.wait_for_reply(name - 2)
            assert [reply.name for reply in caller.replies] == list(range(3, 20))
            assert peer.connection_count == 2

    run_async_test(body())


def test_refused_connection_is_reported_as_connect_failed() -> None:
    """The counter cannot have added the units, and the outcome must say so."""

    async def body() -> None:
        caller = CounterClientUnderTest(find_refusing_address())
        caller.start_call()
        assert await caller.wait_for_reply() == (7, Outcome.CONNECT_FAILED, 0.0)

    run_async_test(body())


def test_call_that_times_out_before_a_connection_opens_is_never_sent() -> None:
    async def body() -> None:
        with unresponsive_address() as address:
            caller = CounterClientUnderTest(address, timeout_s=0.05)
            caller.start_call()
            assert await caller.wait_for_reply() == (7, Outcome.CONNECT_FAILED, 0.0)
            await wait_until(lambda: caller.client.connect_task is None)
            assert len(caller.replies) == 1

    run_async_test(body())


def test_silent_connection_is_replaced() -> None:
    async def script(connection_index: int, reader: Reader, writer: Writer) -> None:
        while await reader.readline():
            if connection_index == 1:
                writer.write(b"ok 5\r\n")

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            caller = CounterClientUnderTest(peer.address, timeout_s=0.02)
            caller.start_call()
            assert await caller.wait_for_reply() == (7, Outcome.TIMEOUT, 0.0)
            # Simulate that the call has been unanswered for a minute.
            caller.client.connections[0].unanswered_calls[0].started_at -= 60.0
            caller.client.timeout_s = 5.0
            caller.start_call()
            assert await caller.wait_for_reply(2) == (7, Outcome.OK, 5.0)
            assert peer.connection_count == 2

    run_async_test(body())


def test_idle_connection_is_closed_by_the_client(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_module, "IDLE_TIMEOUT_S", 0.05)

    async def body() -> None:
        async with make_scripted_counter(b"ok 1\r\n") as peer:
            caller = CounterClientUnderTest(peer.address)
            caller.start_call()
            await caller.wait_for_reply()
            await wait_until(lambda: peer.ended_connection_count)
            assert not caller.client.connections

    run_async_test(body())


@pytest.mark.parametrize("is_old_call_answered", [True, False])
def test_calls_after_a_change_of_address_go_to_the_new_address_while_old_calls_finish(
    is_old_call_answered: bool,
) -> None:
    """The old connection closes after its last reply, or when its calls have timed out."""
    callers: list[CounterClientUnderTest] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        old.received_commands.append([await reader.readline()])
        await wait_until(lambda: len(callers[0].replies) == 1)
        if is_old_call_answered:
            writer.write(b"ok 1\r\n")
        await reader.read()

    async def body() -> None:
        async with old, make_scripted_counter(b"ok 2\r\n") as new:
            caller = CounterClientUnderTest(old.address, timeout_s=5.0 if is_old_call_answered else 0.5)
            callers.append(caller)
            caller.start_call(1)
            await wait_until(lambda: old.received_commands)
            caller.client.change_address(new.address)
            caller.start_call(2)
            assert await caller.wait_for_reply() == (2, Outcome.OK, 2.0)
            assert await caller.wait_for_reply(2) == (
                (1, Outcome.OK, 1.0) if is_old_call_answered else (1, Outcome.TIMEOUT, 0.0)
            )
            await wait_until(lambda: old.ended_connection_count)
            assert not caller.client.all_connect_tasks

    old = ScriptedServer(script)
    run_async_test(body())


def test_change_of_address_while_connecting_leads_to_the_new_address() -> None:
    async def body() -> None:
        async with make_scripted_counter() as old, make_scripted_counter(b"ok 2\r\n") as new:
            caller = CounterClientUnderTest(old.address)
            caller.start_call(1)
            caller.client.change_address(new.address)
            assert await caller.wait_for_reply() == (1, Outcome.OK, 2.0)
            await wait_until(
                lambda: old.ended_connection_count == old.connection_count
                and not caller.client.all_connect_tasks
            )
            assert not old.received_commands

    run_async_test(body())


def test_change_of_address_without_pending_calls_closes_all_connections() -> None:
    async def body() -> None:
        async with make_scripted_counter(b"ok 1\r\n") as old, make_scripted_counter() as new:
            caller = CounterClientUnderTest(old.address)
            caller.start_call()
            await caller.wait_for_reply()
            caller.client.change_address(new.address)
            await wait_until(lambda: old.ended_connection_count)
            assert not caller.client.connections
            assert not new.connection_count

    run_async_test(body())


@pytest.mark.parametrize("later_call_count", [0, 3])
def test_connection_that_opens_after_the_client_was_closed_is_closed(later_call_count: int) -> None:
    async def body() -> None:
        async with make_scripted_counter(b"ok 1\r\n") as peer:
            caller = CounterClientUnderTest(peer.address, timeout_s=0.2)
            caller.start_call()
            caller.client.close()  # while the connection is being opened
            for _ in range(later_call_count):
                caller.start_call()
            await wait_until(
                lambda: len(caller.replies) == later_call_count + 1 and not caller.client.all_connect_tasks
            )
            assert {reply.outcome for reply in caller.replies} == {Outcome.CONNECT_FAILED}
            await wait_until(lambda: peer.ended_connection_count == peer.connection_count)
            assert not caller.client.connections
            assert peer.received_commands in ([], [[b""]])

    run_async_test(body())


def test_unsent_calls_go_once_to_the_new_address_if_the_old_one_fails() -> None:
    async def body() -> None:
        async with make_scripted_counter(b"ok 1\r\n", b"ok 2\r\n") as new:
            caller = CounterClientUnderTest(find_refusing_address())
            caller.start_call(1)
            caller.start_call(2)
            caller.client.change_address(new.address)
            assert await caller.wait_for_reply(2) == (2, Outcome.OK, 2.0)
            assert [line[:5] for [line] in new.received_commands if line] == [b"add 1", b"add 2"]

    run_async_test(body())
