"""Tests of the clients of real ingresses: counts of their answers, and closed connections."""

from __future__ import annotations

import asyncio

import pytest

from scale.standins.clients import IngressClients, ping
from tests.scale.standins.scenarios import small_scenario
from tests.support.peers import (
    Reader,
    ScriptedServer,
    Writer,
    encode_value_reply,
    read_command,
    run_async_test,
    wait_until,
)

REPLIES: list[tuple[bytes | None, str]] = [
    (None, "served"),
    (b"-BUSY 20\r\n", "refused"),
    (b"-ERR failed\r\n", "failed"),
    (encode_value_reply(b"0000000000000000:12"), "wrong"),
    (b"", "lost"),
]


@pytest.mark.parametrize(("reply", "outcome"), REPLIES)
def test_client_counts_each_answer_under_its_outcome(reply: bytes | None, outcome: str) -> None:
    """The empty reply closes the connection: a request is lost if that happens on a new connection.

    Where the reply is None, the peer answers with the id of the request.
    """

    async def serve_connection(_: int, reader: Reader, writer: Writer) -> None:
        while arguments := await read_command(reader):
            writer.write(encode_value_reply(arguments[2] + b":1500") if reply is None else reply)
            if reply == b"":
                return

    async def body() -> None:
        async with ScriptedServer(serve_connection) as peer:
            clients = IngressClients(small_scenario(requests_per_s=1000.0), 1, peer.address, seed=1)
            clients.start()
            await wait_until(lambda: clients.measures.counts.requests)
            clients.stop()
            await wait_until(lambda: not clients.has_open_requests)
            assert getattr(clients.measures.counts, outcome) == clients.measures.counts.requests

    run_async_test(body())


def test_answer_without_a_request_in_flight_counts_as_duplicated() -> None:
    async def serve_connection(_: int, reader: Reader, writer: Writer) -> None:
        arguments = await read_command(reader)
        writer.write(2 * encode_value_reply(arguments[2] + b":1500"))
        await reader.read()

    async def body() -> None:
        async with ScriptedServer(serve_connection) as peer:
            clients = IngressClients(small_scenario(requests_per_s=1000.0), 1, peer.address, seed=1)
            clients.start()
            await wait_until(lambda: clients.measures.counts.duplicated)
            clients.stop()
            assert clients.measures.counts.served

    run_async_test(body())


def test_request_on_a_reused_connection_that_closes_is_sent_once_more() -> None:
    async def serve_connection(number: int, reader: Reader, writer: Writer) -> None:
        arguments = await read_command(reader)
        writer.write(encode_value_reply(arguments[2] + b":1"))
        while arguments := await read_command(reader):
            if number == 0:
                return
            writer.write(encode_value_reply(arguments[2] + b":1"))

    async def body() -> None:
        async with ScriptedServer(serve_connection) as peer:
            clients = IngressClients(small_scenario(requests_per_s=200.0), 1, peer.address, seed=1)
            clients.start()
            await wait_until(lambda: clients.measures.counts.served >= 10)
            await clients.finish(5.0)
            assert peer.ended_connection_count >= 1
            assert (clients.measures.counts.lost, clients.measures.counts.served) == (
                0,
                clients.measures.counts.requests,
            )

    run_async_test(body())


def test_ping_fails_if_nothing_listens_at_the_address() -> None:
    async def body() -> None:
        async with ScriptedServer(lambda *_: asyncio.sleep(0)) as peer:
            address = peer.address
        assert not await ping(address)

    run_async_test(body())
