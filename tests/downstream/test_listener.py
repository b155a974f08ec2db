"""The limit of client connections, and the eviction of connections for new ones."""

from __future__ import annotations

import asyncio
import socket

import pytest

import ingress.interface as api
from ingress.downstream import idle_connections, timeouts
from tests.support.ingress import (
    install_scripted_gateway,
    running_ingress,
    running_ingress_before,
    wait_for_client_connections,
)
from tests.support.peers import (
    RespClient,
    encode_resp_array,
    make_command,
    make_config,
    make_endpoint_entry,
    make_scripted_backend,
    run_async_test,
    wait_until,
)


def test_idle_connection_is_evicted_at_the_connection_limit() -> None:
    async def body() -> None:
        async with running_ingress(make_config()) as (ingress, address):
            ingress.listener.max_connections = 3  # one slot is kept free for new connections
            callers = [await RespClient.connect(address) for _ in range(2)]
            for caller in callers:
                assert await caller.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
            third = await RespClient.connect(address)
            assert await third.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
            with pytest.raises(EOFError):
                await callers[0].read_reply()
            assert await callers[1].send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"

    run_async_test(body())


def test_connection_just_accepted_is_not_evicted() -> None:
    """Further connections wait in the backlog; none is closed before its first command is answered."""

    async def body() -> None:
        async with running_ingress(make_config()) as (ingress, address):
            ingress.listener.max_connections = 10
            install_scripted_gateway(ingress, lambda e: [api.Reject(e.id)])
            callers = [await RespClient.connect(address) for _ in range(60)]
            for n, caller in enumerate(callers):
                caller.writer.write(make_command(str(n)))
            for caller in callers:
                assert str(await caller.read_reply()) == "BUSY"
                caller.writer.close()

    run_async_test(body())


def test_silent_clients_do_not_lock_out_other_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of hundreds of connections, those that have sent no command are evicted before the others."""
    monkeypatch.setattr(idle_connections, "MIN_NEW_CONNECTION_AGE_S", 0.0)

    async def body() -> None:
        async with running_ingress(make_config()) as (ingress, address):
            ingress.listener.max_connections = 40
            active = await RespClient.connect(address)
            assert await active.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
            silent = [await RespClient.connect(address) for _ in range(200)]
            later = await RespClient.connect(address)
            for _ in range(3):
                assert await later.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
                assert await active.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
            assert len(ingress.listener.connections) <= 40
            for caller in silent:
                caller.writer.close()

    run_async_test(body())


@pytest.mark.parametrize("trigger", ["drain", "idle", "room"])
def test_unread_request_keeps_its_connection_open(trigger: str) -> None:
    """Closing a connection with an unread request in the socket would reset it and lose the request."""

    async def body() -> None:
        async with (
            make_scripted_backend() as peer,
            running_ingress(make_config(make_endpoint_entry(peer.address))) as (ingress, address),
        ):
            sock = socket.create_connection(address)
            sock.sendall(encode_resp_array(b"PING"))
            [client_connection] = await wait_for_client_connections(ingress, 1)
            await wait_until(lambda: client_connection in ingress.listener.idle_connections.answered)
            # The command stays unread in the socket, since the event loop does not run before the close.
            sock.sendall(make_command("late"))
            if trigger == "drain":
                ingress.listener.drain()
            elif trigger == "idle":
                client_connection.enforce_timeouts(ingress.clock() + timeouts.IDLE_TIMEOUT_S + 1)
            else:
                ingress.listener.evict_connection()
            sock.setblocking(False)
            loop, received = asyncio.get_running_loop(), b""
            while b"late" not in received:
                received += (chunk := await loop.sock_recv(sock, 1000))
                assert chunk
            sock.close()

    run_async_test(body())


@pytest.mark.parametrize("trigger", ["drain", "room"])
def test_partial_request_keeps_its_connection_open(trigger: str) -> None:
    async def body() -> None:
        async with (
            make_scripted_backend() as peer,
            running_ingress(make_config(make_endpoint_entry(peer.address))) as (ingress, address),
        ):
            caller = await RespClient.connect(address)
            assert await caller.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
            command = make_command("whole")
            caller.writer.write(command[:50])
            [client_connection] = await wait_for_client_connections(ingress, 1)
            await wait_until(lambda: client_connection.input.buffer)
            if trigger == "drain":
                ingress.listener.drain()
            else:
                ingress.listener.evict_connection()
            assert await caller.send_and_read_reply(command[50:]) == b"whole"
            assert trigger == "room" or await caller.closes_without_reset()

    run_async_test(body())


def test_unsent_reply_keeps_its_connection_from_eviction() -> None:
    size = 8 << 20
    value = b"*3\r\n$1000000\r\n" + b"v" * 1_000_000 + b"\r\n$-1\r\n$-1\r\n"

    async def body() -> None:
        async with make_scripted_backend(value) as peer, running_ingress_before(peer) as (ingress, address):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(address)
            sock.sendall(b"".join(make_command(str(n)) for n in range(size // 1_000_000)))
            [client_connection] = await wait_for_client_connections(ingress, 1)
            await wait_until(
                lambda: client_connection.write_blocked_since
                and not ingress.requests
                and not client_connection.pending_replies
            )
            ingress.listener.evict_connection()
            sock.setblocking(False)
            loop, received = asyncio.get_running_loop(), 0
            while received < size // 1_000_000 * (1_000_000 + len(b"$1000000\r\n\r\n")):
                chunk = await loop.sock_recv(sock, 1 << 20)
                assert chunk
                received += len(chunk)
            sock.close()

    run_async_test(body())
