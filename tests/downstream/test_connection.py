"""One client connection: the order of replies, malformed frames, pipelining and timeouts."""

from __future__ import annotations

import asyncio
import socket

import hiredis
import pytest

from ingress.downstream import command_executor, connection, listener, timeouts
from ingress.process.ingress import Ingress
from tests.support.ingress import script_gateway, send_to_s1, serving
from tests.support.peers import (
    Caller,
    Peer,
    Reader,
    Writer,
    command,
    config,
    entry,
    read_command,
    resp,
    run,
    until,
    value,
)


def test_replies_are_sent_in_the_order_of_the_commands() -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        arguments = await read_command(reader)
        if arguments[2] == b"slow":
            await until(lambda: peer.commands)
        else:
            peer.commands.append(arguments)
        writer.write(value(arguments[2]))
        await reader.read()

    async def body() -> None:
        async with peer, serving(config(entry(peer.address))) as (ingress, address):
            script_gateway(ingress, send_to_s1)
            caller = await Caller.to(address)
            caller.writer.write(command("slow") + command("quick") + resp(b"PING"))
            assert [await caller.answer() for _ in range(3)] == [b"slow", b"quick", b"PONG"]

    peer = Peer(script)
    run(body())


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        b"+PING\r\n",
        b"*x\r\n",
        b"*1\r\n$x\r\n",
        b"*4000000000\r\n",
        b"*1\r\n$900000\r\n" + b"x" * 800_000,
        b"*1\r\n:5\r\n",
        b"*1\r\n$-1\r\n",
        b"*-1\r\n",
        b"*1\r\n$3\r\nPINGS\r\n",
        b"*1\r\n$65537\r\n",
        b"*1000000000\r\n",
        b"*1\r\n$99999999999999999",
        b"x" * 100,
    ],
)
def test_malformed_frame_closes_the_connection_after_the_pending_replies(data: bytes) -> None:
    ingresses: list[Ingress] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await read_command(reader)
        await until(lambda: ingresses[0].listener.malformed_command_log.count)
        writer.write(value(b"served"))
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer, serving(config(entry(peer.address))) as (ingress, address):
            ingresses.append(ingress)
            caller = await Caller.to(address)
            caller.writer.write(command() + data)
            assert await caller.answer() == b"served"
            assert str(await caller.answer()).startswith("ERR ")
            with pytest.raises((EOFError, ConnectionError)):
                await caller.answer()

    run(body())


def test_frame_that_claims_a_billion_arguments_does_not_stall_the_loop() -> None:
    async def body() -> None:
        async with serving(config()) as (_, address):
            caller = await Caller.to(address)
            assert "too many words" in str(await caller.ask(b"*1000000000\r\n"))
            with pytest.raises((EOFError, ConnectionError)):
                await caller.answer()

    run(body())


def test_client_that_repeats_malformed_commands_is_disconnected() -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, address):
            caller = await Caller.to(address)
            caller.writer.write(resp(b"NO") * 300)
            for _ in range(command_executor.MAX_MALFORMED_COMMANDS):
                assert isinstance(await caller.answer(), hiredis.ReplyError)
            with pytest.raises((EOFError, ConnectionError)):
                await caller.answer()
            assert ingress.listener.malformed_command_log.count == command_executor.MAX_MALFORMED_COMMANDS

    run(body())


def test_last_error_reply_is_delivered_while_more_input_arrives(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that the client reads the error even though it still sends 60 MB that are never parsed.

    Closing with unread input would reset the connection and could destroy the error reply.  Only a little of
    the input is read and discarded.
    """
    monkeypatch.setattr(timeouts, "LINGER_TIMEOUT_S", 0.2)
    monkeypatch.setattr(listener, "SWEEP_INTERVAL_S", 0.02)

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            caller = await Caller.to(address)
            caller.writer.write(b"*5\r\n$60000000\r\n")
            assert "too large" in str(await caller.answer())
            client = next(iter(ingress.listener.connections))
            caller.writer.write(bytes(60_000_000))
            await until(lambda: not ingress.listener.connections)
            assert client.discarded_bytes < 2 * connection.MAX_DISCARDED_BYTES
            caller.writer.transport.abort()

    run(body())


@pytest.mark.parametrize("sent", [b"", b"*", b"*4\r\n$8\r\nAPI.R", b"*1\r\n$4\r\nPIN"])
def test_silent_client_or_partial_command_times_out(sent: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timeouts, "READ_TIMEOUT_S", 0.2)
    monkeypatch.setattr(listener, "SWEEP_INTERVAL_S", 0.02)

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            caller = await Caller.to(address)
            caller.writer.write(sent)
            received = await caller.reader.read()  # until the connection is closed
            assert received.startswith(b"-ERR ") is bool(sent)
            caller.writer.close()
            await until(lambda: not ingress.listener.connections)
            assert not ingress.listener.input_budget.used_bytes

    run(body())


def test_single_bytes_do_not_extend_the_timeout_of_a_partial_command(monkeypatch: pytest.MonkeyPatch) -> None:
    """The timeout of a partial command runs from its first byte, not from its latest byte."""
    monkeypatch.setattr(timeouts, "READ_TIMEOUT_S", 0.3)
    monkeypatch.setattr(listener, "SWEEP_INTERVAL_S", 0.02)

    async def body() -> None:
        async with serving(config()) as (_, address):
            caller = await Caller.to(address)
            received = asyncio.create_task(caller.reader.read())
            for byte in command(request="1" * 100):
                if received.done():
                    break
                caller.writer.write(bytes([byte]))
                await asyncio.wait({received}, timeout=0.05)
            assert (await received).startswith(b"-ERR ")

    run(body())


def test_idle_connection_is_closed_and_busy_one_is_not(monkeypatch: pytest.MonkeyPatch) -> None:
    for module, name in (
        (timeouts, "READ_TIMEOUT_S"),
        (timeouts, "IDLE_TIMEOUT_S"),
        (listener, "SWEEP_INTERVAL_S"),
    ):
        monkeypatch.setattr(module, name, 0.05)

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        arguments = await read_command(reader)
        await until(lambda: ended)
        writer.write(value(arguments[2]))
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer, serving(config(entry(peer.address))) as (_, address):
            idle, busy = await Caller.to(address), await Caller.to(address)
            busy.writer.write(command("busy"))
            assert await idle.ask(resp(b"PING")) == b"PONG"
            with pytest.raises((EOFError, ConnectionError)):
                await idle.answer()
            ended.append(True)
            assert await busy.answer() == b"busy"

    ended: list[bool] = []
    run(body())


def test_client_that_does_not_read_its_replies_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timeouts, "READ_TIMEOUT_S", 0.1)
    monkeypatch.setattr(listener, "SWEEP_INTERVAL_S", 0.02)

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            sock = socket.create_connection(address)
            sock.setblocking(False)
            await until(lambda: ingress.listener.connections)
            loop, text = asyncio.get_running_loop(), resp(b"PING", b"x" * 60_000)

            async def send() -> None:
                while True:
                    await loop.sock_sendall(sock, text)

            with pytest.raises(ConnectionError):
                await send()
            sock.close()
            await until(lambda: not ingress.listener.connections)

    run(body())
