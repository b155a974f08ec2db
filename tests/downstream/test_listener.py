"""The limit of client connections, and the eviction of connections for new ones."""

from __future__ import annotations

import asyncio
import socket

import pytest

import ingress.interface as api
from ingress.downstream import idle_connections, timeouts
from tests.support.ingress import client_connections, script_gateway, send_to_s1, serving
from tests.support.peers import Caller, backend, command, config, entry, resp, run, until


def test_idle_connection_is_evicted_at_the_connection_limit() -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, address):
            ingress.listener.max_connections = 3  # one slot is kept free for new connections
            callers = [await Caller.to(address) for _ in range(2)]
            for caller in callers:
                assert await caller.ask(resp(b"PING")) == b"PONG"
            third = await Caller.to(address)
            assert await third.ask(resp(b"PING")) == b"PONG"
            with pytest.raises(EOFError):
                await callers[0].answer()
            assert await callers[1].ask(resp(b"PING")) == b"PONG"

    run(body())


def test_connection_just_accepted_is_not_evicted() -> None:
    """With many clients of one connection each, new connections wait in the backlog and none is closed."""

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            ingress.listener.max_connections = 10
            script_gateway(ingress, lambda e: [api.Reject(e.id)])
            callers = [await Caller.to(address) for _ in range(60)]
            for n, caller in enumerate(callers):
                caller.writer.write(command(str(n)))
            for caller in callers:
                assert str(await caller.answer()) == "BUSY"
                caller.writer.close()

    run(body())


def test_silent_clients_do_not_lock_out_other_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of hundreds of connections, those that have sent no command are evicted before the others."""
    monkeypatch.setattr(idle_connections, "MIN_NEW_CONNECTION_AGE_S", 0.0)

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            ingress.listener.max_connections = 40
            active = await Caller.to(address)
            assert await active.ask(resp(b"PING")) == b"PONG"
            silent = [await Caller.to(address) for _ in range(200)]
            later = await Caller.to(address)
            for _ in range(3):
                assert await later.ask(resp(b"PING")) == b"PONG"
                assert await active.ask(resp(b"PING")) == b"PONG"
            assert len(ingress.listener.connections) <= 40
            for caller in silent:
                caller.writer.close()

    run(body())


@pytest.mark.parametrize("how", ["drain", "idle", "room"])
def test_unread_request_keeps_its_connection_open(how: str) -> None:
    """Closing a connection with an unread request in the socket would reset it and lose the request."""

    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (ingress, address):
            sock = socket.create_connection(address)
            sock.sendall(resp(b"PING"))
            [client] = await client_connections(ingress, 1)
            await until(lambda: client in ingress.listener.idle_connections.answered)
            # The command stays unread in the socket, since the event loop does not run before the close.
            sock.sendall(command("late"))
            if how == "drain":
                ingress.listener.drain()
            elif how == "idle":
                client.enforce_timeouts(ingress.clock() + timeouts.IDLE_TIMEOUT_S + 1)
            else:
                ingress.listener.evict_connection()
            sock.setblocking(False)
            loop, received = asyncio.get_running_loop(), b""
            while b"late" not in received:
                received += (chunk := await loop.sock_recv(sock, 1000))
                assert chunk
            sock.close()

    run(body())


@pytest.mark.parametrize("how", ["drain", "room"])
def test_partial_request_keeps_its_connection_open(how: str) -> None:
    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (ingress, address):
            caller = await Caller.to(address)
            assert await caller.ask(resp(b"PING")) == b"PONG"
            text = command("whole")
            caller.writer.write(text[:50])
            [client] = await client_connections(ingress, 1)
            await until(lambda: client.buffer)
            if how == "drain":
                ingress.listener.drain()
            else:
                ingress.listener.evict_connection()
            assert await caller.ask(text[50:]) == b"whole"
            assert how == "room" or await caller.closes_without_reset()

    run(body())


def test_unsent_reply_keeps_its_connection_from_eviction() -> None:
    size = 8 << 20
    value = b"*3\r\n$1000000\r\n" + b"v" * 1_000_000 + b"\r\n$-1\r\n$-1\r\n"

    async def body() -> None:
        async with backend(value) as peer, serving(config(entry(peer.address))) as (ingress, address):
            script_gateway(ingress, send_to_s1)
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(address)
            sock.sendall(b"".join(command(str(n)) for n in range(size // 1_000_000)))
            [client] = await client_connections(ingress, 1)
            await until(
                lambda: client.write_blocked_since and not ingress.requests and not client.pending_replies
            )
            ingress.listener.evict_connection()
            sock.setblocking(False)
            loop, received = asyncio.get_running_loop(), 0
            while received < size // 1_000_000 * (1_000_000 + len(b"$1000000\r\n\r\n")):
                chunk = await loop.sock_recv(sock, 1 << 20)
                assert chunk
                received += len(chunk)
            sock.close()

    run(body())
