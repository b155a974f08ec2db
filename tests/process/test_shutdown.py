"""The end of a graceful shutdown: what comes after the last answers is rejected, not lost."""

from __future__ import annotations

import asyncio
import socket

import pytest

from ingress.process import shutdown
from tests.support.ingress import serving_until_stopped
from tests.support.peers import backend, command, config, entry, run, until


def test_request_after_the_last_answers_is_rejected_and_not_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client sends on behind a request in flight, up to the end: each request is answered."""
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_SIGTERM_S", 0.0)
    # With the longest deadline of 2 s the last answers go out 0.1 s after the stop.
    monkeypatch.setattr(shutdown, "SIGKILL_DELAY_S", shutdown.LAST_ANSWERS_MARGIN_S - 1.9)
    monkeypatch.setattr(shutdown, "FLUSH_TIMEOUT_S", 5.0)

    async def body() -> None:
        async with (
            backend(b"") as peer,
            serving_until_stopped(config(entry(peer.address))) as (ingress, address, stop),
        ):
            sock = socket.create_connection(address)
            sock.sendall(command("open"))
            await until(lambda: peer.commands)
            close = ingress.listener.close

            def late() -> None:
                sock.sendall(command("late"))  # here and unread as the connections are closed
                close()

            monkeypatch.setattr(ingress.listener, "close", late)
            stop.set()
            sock.setblocking(False)
            loop, got = asyncio.get_running_loop(), b""
            while more := await loop.sock_recv(sock, 1000):
                got += more
            assert got == b"-ERR failed\r\n-BUSY\r\n"
            sock.close()
            assert len(peer.commands) == 1

    run(body())
