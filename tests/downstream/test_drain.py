"""Draining of the listener: every received request is served before its connection is closed."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import pytest

from ingress.downstream import connection
from tests.support.ingress import (
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


def test_connection_accepted_while_draining_is_served_and_then_closed() -> None:
    async def body() -> None:
        async with running_ingress(make_config()) as (ingress, address):
            idle = socket.create_connection(address)
            busy = socket.create_connection(address)
            busy.sendall(encode_resp_array(b"PING"))
            ingress.listener.drain()  # before the event loop has accepted either connection
            loop = asyncio.get_running_loop()
            for sock in (idle, busy):
                sock.setblocking(False)
            assert await loop.sock_recv(busy, 100) == b"+PONG\r\n"
            for sock in (idle, busy):
                assert await loop.sock_recv(sock, 100) == b""
                sock.close()
            await wait_until(lambda: not ingress.listener.connections)

    run_async_test(body())


def test_commands_received_together_are_all_served_while_draining() -> None:
    async def body() -> None:
        async with (
            make_scripted_backend() as peer,
            running_ingress(make_config(make_endpoint_entry(peer.address))) as (ingress, address),
        ):
            caller = await RespClient.connect(address)
            caller.writer.write(make_command("first"))
            assert await caller.read_reply() == b"first"
            # Set directly, since `drain` would close the connection, which is idle now, without a wait.
            ingress.listener.is_draining = True
            caller.writer.write(
                encode_resp_array(b"PING") + make_command("second") + encode_resp_array(b"PING")
            )
            assert [await caller.read_reply() for _ in range(3)] == [b"PONG", b"second", b"PONG"]
            assert await caller.closes_without_reset()

    run_async_test(body())


def test_commands_beyond_a_full_pipeline_are_served_while_draining(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "MAX_PIPELINED", 4)

    async def body() -> None:
        async with make_scripted_backend() as peer, running_ingress_before(peer) as (ingress, address):
            caller = await RespClient.connect(address)
            caller.writer.write(b"".join(make_command(str(n)) for n in range(30)))
            await wait_until(lambda: ingress.requests)
            ingress.listener.drain()
            assert [await caller.read_reply() for _ in range(30)] == [b"%d" % n for n in range(30)]
            assert await caller.closes_without_reset()

    run_async_test(body())


def test_request_received_while_a_reply_is_being_sent_is_served_while_draining() -> None:
    """A close at this point would reset the connection and lose the request and the rest of the reply."""
    size = 8 << 20

    async def body() -> None:
        async with make_scripted_backend() as peer, running_ingress_before(peer) as (ingress, address):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(address)
            sock.sendall(encode_resp_array(b"PING"))
            [client_connection] = await wait_for_client_connections(ingress, 1)
            await wait_until(lambda: client_connection in ingress.listener.idle_connections.answered)
            assert client_connection.transport
            # The raised limit lets a long reply be buffered without back-pressure while it is being sent.
            client_connection.transport.set_write_buffer_limits(2 * size)
            client_connection.transport.write(b"+" + b"v" * size + b"\r\n")
            ingress.listener.drain()
            sock.sendall(make_command("late"))
            sock.setblocking(False)
            loop, received = asyncio.get_running_loop(), b""
            while chunk := await loop.sock_recv(sock, 1 << 20):
                received += chunk
            assert len(received) > size
            assert received.endswith(b"v\r\n$4\r\nlate\r\n")
            sock.close()

    run_async_test(body())


def test_connections_in_the_backlog_are_served_while_draining() -> None:
    """The drain begins at the connection limit, while connections with a request wait in the backlog."""

    async def body() -> None:
        async with make_scripted_backend() as peer, running_ingress_before(peer) as (ingress, address):
            ingress.listener.max_connections = 3
            callers = [await RespClient.connect(address) for _ in range(3)]
            for caller in callers:
                assert await caller.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
            waiting = [socket.create_connection(address) for _ in range(6)]
            for number, sock in enumerate(waiting):
                sock.sendall(make_command(f"w{number}"))
            ingress.listener.drain()
            loop = asyncio.get_running_loop()
            for number, sock in enumerate(waiting):
                sock.setblocking(False)
                assert await loop.sock_recv(sock, 1000) == b"$2\r\nw%d\r\n" % number
                sock.close()
            await wait_until(lambda: ingress.listener.sock.fileno() < 0 and not ingress.listener.connections)

    run_async_test(body())


def test_connection_behind_an_aborted_one_is_served_while_draining() -> None:
    class ListeningSocket:
        """A listening socket whose first accepted connection has already been aborted by its client."""

        def __init__(self, sock: socket.socket) -> None:
            self.sock = sock
            self.aborted = False

        def __getattr__(self, name: str) -> Any:
            return getattr(self.sock, name)

        def accept(self) -> Any:
            if not self.aborted:
                self.aborted = True
                raise OSError(errno.ECONNABORTED, "aborted")
            return self.sock.accept()

    async def body() -> None:
        async with (
            make_scripted_backend() as peer,
            running_ingress(make_config(make_endpoint_entry(peer.address))) as (ingress, address),
        ):
            ingress.listener.sock = ListeningSocket(ingress.listener.sock)  # type: ignore[assignment]
            sock = socket.create_connection(address)
            sock.sendall(make_command("behind"))
            ingress.listener.drain()
            sock.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(sock, 1000) == b"$6\r\nbehind\r\n"
            sock.close()

    run_async_test(body())


def test_wait_until_drained_ends_when_the_last_connection_closes() -> None:
    async def body() -> None:
        async with running_ingress(make_config()) as (ingress, address):
            callers = [await RespClient.connect(address) for _ in range(2)]
            for caller in callers:
                assert await caller.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
            loop = asyncio.get_running_loop()
            drained = asyncio.create_task(ingress.listener.wait_until_drained(loop.time() + 10.0))
            callers[0].writer.close()
            await wait_until(lambda: len(ingress.listener.connections) == 1)
            assert not drained.done()
            callers[1].writer.close()
            start = loop.time()
            await drained
            assert loop.time() - start < 5.0
            assert not ingress.listener.connections

    run_async_test(body())


def test_wait_until_drained_includes_connections_in_the_backlog() -> None:
    async def body() -> None:
        async with running_ingress(make_config()) as (ingress, _):
            listener = ingress.listener
            loop = asyncio.get_running_loop()
            listener.is_accept_paused = True
            drained = asyncio.create_task(listener.wait_until_drained(loop.time() + 10.0))
            await asyncio.sleep(0.05)
            assert not drained.done()
            listener.drain()  # closes the socket, since the backlog is empty
            await drained
            assert listener.sock.fileno() < 0

    run_async_test(body())


def test_wait_until_drained_ends_at_its_deadline() -> None:
    async def body() -> None:
        async with running_ingress(make_config()) as (ingress, address):
            caller = await RespClient.connect(address)
            assert await caller.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
            loop = asyncio.get_running_loop()
            deadline = loop.time() + 0.1
            await ingress.listener.wait_until_drained(deadline)
            assert loop.time() >= deadline - 0.005
            assert len(ingress.listener.connections) == 1

    run_async_test(body())
