"""The end of a graceful shutdown: a request received after the last answers is rejected, not lost."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ingress.process import shutdown
from tests.support.ingress import running_ingress_until_stopped
from tests.support.peers import (
    make_command,
    make_config,
    make_endpoint_entry,
    make_scripted_backend,
    run_async_test,
    wait_until,
)


def test_request_received_after_the_last_answers_is_rejected_and_not_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request follows another one, on the same connection, that is in flight until the end."""
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_SIGTERM_S", 0.0)
    # With the longest deadline of 2 s, the last answers are sent 0.1 s after the stop.
    monkeypatch.setattr(shutdown, "SIGKILL_DELAY_S", shutdown.LAST_ANSWERS_MARGIN_S - 1.9)
    monkeypatch.setattr(shutdown, "FLUSH_TIMEOUT_S", 5.0)

    async def body() -> None:
        async with (
            make_scripted_backend(b"") as peer,
            running_ingress_until_stopped(make_config(make_endpoint_entry(peer.address))) as (
                ingress,
                address,
                stop,
            ),
        ):
            sock = socket.create_connection(address)
            sock.sendall(make_command("open"))
            await wait_until(lambda: peer.received_commands)
            close_listener = ingress.listener.close

            def send_and_close() -> None:
                sock.sendall(make_command("late"))  # unread in the socket when the connections are closed
                close_listener()

            monkeypatch.setattr(ingress.listener, "close", send_and_close)
            stop.set()
            sock.setblocking(False)
            loop, received = asyncio.get_running_loop(), b""
            while chunk := await loop.sock_recv(sock, 1000):
                received += chunk
            assert received == b"-ERR failed\r\n-BUSY\r\n"
            sock.close()
            assert len(peer.received_commands) == 1

    run_async_test(body())
