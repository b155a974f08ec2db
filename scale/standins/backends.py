"""The stand-ins of the backends: RESP2 servers on loopback, many in one process.

Each has a capacity, a latency and a cold start of its own.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass
from typing import cast

import hiredis

from scale.addresses import Address
from scale.scenario import BackendModel
from scale.standins.backend_queue import BackendQueue
from scale.standins.resp import encode_bulk_string

MAX_COMMAND_BYTES = 256 * 1024  # received bytes of an incomplete command beyond which it is rejected


@dataclass(slots=True)
class BackendCounts:
    """The commands and connections of one backend."""

    commands: int = 0
    served: int = 0
    busy: int = 0
    """Commands that were rejected because the queue was full."""
    errors: int = 0
    """Malformed commands."""
    connections: int = 0
    """Connections accepted so far."""


class BackendServer:
    """One backend."""

    def __init__(self, model: BackendModel, rng: random.Random) -> None:
        self.idle_timeout_s = model.keepalive_s
        self.queue = BackendQueue(model, rng)
        self.loop = asyncio.get_running_loop()
        self.is_silent = False  # whether received data is ignored and nothing is sent
        self.requests_in_flight = 0
        self.counts = BackendCounts()
        self.connections: set[BackendConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> Address:
        """Open the listener on an ephemeral loopback port."""
        self._server = await self.loop.create_server(lambda: BackendConnection(self), "127.0.0.1", 0)
        address: Address = self._server.sockets[0].getsockname()[:2]
        return address

    def begin_cold_start(self, started_at: float) -> None:
        """Begin a cold start at a Unix time."""
        self.queue.begin_cold_start(started_at)

    def set_silent(self, is_silent: bool) -> None:
        """Set whether the backend is silent.

        A silent backend keeps its connections open, but ignores what it receives and sends nothing.  When the
        silence ends, its connections are reset.
        """
        self.is_silent = is_silent
        if not is_silent:
            for connection in list(self.connections):
                connection.abort()

    def close(self) -> None:
        """Close the listener and reset the connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


def parse_reply_value(value: bytes) -> tuple[bytes, float]:
    """Split the value of a reply into the id of the request and the backend's service time (s)."""
    request_id, _, microseconds = value.partition(b":")
    return request_id, int(microseconds) / 1e6


class BackendConnection(asyncio.Protocol):
    """One connection of an ingress; replies keep the order of the commands."""

    def __init__(self, backend: BackendServer) -> None:
        self.backend = backend
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader()
        self.incomplete_bytes = 0  # received bytes of a command that is not complete yet
        # The replies in the order of the commands.  Each is a list that is empty until the command is done,
        # and then contains the encoded reply.
        self.replies: deque[list[bytes]] = deque()
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.backend.connections.add(self)
        self.backend.counts.connections += 1
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection."""
        self.transport = None
        self.backend.connections.discard(self)
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def _restart_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = self.backend.loop.call_later(self.backend.idle_timeout_s, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.replies:
            self._restart_idle_timer()
        elif self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Handle the commands that are complete; a silent backend ignores the data."""
        if self.backend.is_silent:
            return
        self._restart_idle_timer()
        self.incomplete_bytes += len(data)
        self.reader.feed(data)
        try:
            while (command := self.reader.gets()) is not False:
                self.incomplete_bytes = 0
                self._handle_command(command)
        except hiredis.ProtocolError:
            self._reject_malformed()
        if self.incomplete_bytes > MAX_COMMAND_BYTES:
            self._reject_malformed()

    def _reject_malformed(self) -> None:
        self.backend.counts.errors += 1
        if self.transport is not None:
            self.transport.write(b"-SYNTAX\r\n")
            self.transport.close()

    def _handle_command(self, command: object) -> None:
        if (
            not isinstance(command, list)
            or not command
            or not all(isinstance(word, bytes) for word in command)
        ):
            self._reject_malformed()
            return
        reply: list[bytes] = []
        self.replies.append(reply)
        verb = command[0].upper()
        if verb in (b"API.READ", b"API.WRITE"):
            self._handle_request(reply, command)
        elif verb == b"PING":
            self._complete_reply(reply, b"+PONG\r\n")
        elif verb in (b"CLIENT", b"SELECT"):
            self._complete_reply(reply, b"+OK\r\n")
        else:
            self._complete_reply(reply, b"-ERR unknown command\r\n")

    def _handle_request(self, reply: list[bytes], arguments: list[bytes]) -> None:
        try:
            fields = dict(pair.split(b"=", 1) for pair in arguments[3].split(b","))
            units = float(fields.get(b"units", b"1"))
        except (IndexError, ValueError):
            self._reject_malformed()
            return
        backend = self.backend
        backend.counts.commands += 1
        delay_s = backend.queue.accept_request(units)
        if delay_s is None:
            backend.counts.busy += 1
            self._complete_reply(reply, b"-BUSY\r\n")
            return
        backend.requests_in_flight += 1
        backend.loop.call_later(delay_s, self._finish_request, reply, arguments[2], time.monotonic())

    def _finish_request(self, reply: list[bytes], request_id: bytes, arrived_at: float) -> None:
        backend = self.backend
        backend.requests_in_flight -= 1
        if backend.is_silent or self.transport is None:
            return
        backend.counts.served += 1
        service_time_us = max(0, round((time.monotonic() - arrived_at) * 1e6))
        value = encode_bulk_string(b"%b:%d" % (request_id, service_time_us))
        self._complete_reply(
            reply,
            b"*3\r\n%b$-1\r\n%b" % (value, encode_bulk_string(b"active=%d" % backend.requests_in_flight)),
        )

    def _complete_reply(self, reply: list[bytes], data: bytes) -> None:
        """Set the data of a reply, and send all complete replies that precede the first incomplete one."""
        reply.append(data)
        while self.replies and self.replies[0]:
            ready_reply = self.replies.popleft()
            if self.transport is not None:
                self.transport.write(ready_reply[0])
