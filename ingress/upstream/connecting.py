"""Open connections to backends."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from ingress.network.addresses import Address
from ingress.upstream.connection import BackendConnection

# Errors that occur when this machine lacks descriptors, memory or local ports; they say nothing about the
# backend.
LOCAL_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


async def open_connection(
    loop: asyncio.AbstractEventLoop,
    address: Address,
    timeout_s: float,
    make_connection: Callable[[socket.socket], BackendConnection],
) -> BackendConnection:
    """Connect to the address and return what `make_connection` makes for the socket.

    Raise OSError (which includes TimeoutError) if no connection is established in `timeout_s`.  The socket is
    closed on any failure, and also if the task is cancelled.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(sock, address)
        _, connection = await loop.create_connection(lambda: make_connection(sock), sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection


def is_local_error(error: OSError) -> bool:
    """Return whether the error comes from a shortage of resources on this machine."""
    return error.errno in LOCAL_ERRNOS
