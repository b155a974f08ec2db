"""Loopback addresses to which no connection can be established."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

from tests.support.peers import Address

BACKLOG_FILLING_CONNECTION_COUNT = 4


def find_refusing_address() -> Address:
    """Return an address that refuses connections, because nothing listens on it any more."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address: Address = server.getsockname()
    return address


@contextlib.contextmanager
def unresponsive_address() -> Iterator[Address]:
    """Yield the address of a listener whose backlog is full, so that further connections get no reply."""
    with contextlib.ExitStack() as sockets:
        server = sockets.enter_context(socket.socket())
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        for _ in range(BACKLOG_FILLING_CONNECTION_COUNT):
            sock = sockets.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(server.getsockname())
        yield server.getsockname()
