"""The stand-in of the shared counter: text lines over TCP, names distributed over parts of limited speed."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import cast
from zlib import crc32

from scale.addresses import Address
from scale.standins.counter_calls import AddCall, CounterCallError, parse_add
from scale.standins.counter_parts import CounterPart

IDLE_TIMEOUT_S = 10.0  # time after which an idle connection is closed
MIN_IDLE_CHECK_S = 0.1  # shortest delay between two checks whether a connection is idle
MAX_LINE_BYTES = 256
EXPIRY_PERIOD_S = 5.0  # interval between two removals of expired names
MAX_CONNECTIONS_PER_INGRESS = 32  # mean over all ingresses; connections beyond it are reset


@dataclass(slots=True)
class CounterCounts:
    """The calls to the counter, and the bytes that it received and sent."""

    calls: int = 0
    answered: int = 0
    busy: int = 0
    """Calls that were rejected because the queue of their part was full."""
    errors: int = 0
    """Malformed lines."""
    bytes_in: int = 0
    bytes_out: int = 0


@dataclass(slots=True)
class PendingReply:
    """The reply to one call, which is sent after the replies to all earlier calls of its connection."""

    text: bytes | None = None
    """The reply without its line end, or None until the call is done."""


class CounterConnection(asyncio.Protocol):
    """One connection of an ingress; replies keep the order of the calls."""

    def __init__(self, counter: CounterServer) -> None:
        self.counter = counter
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.pending_replies: deque[PendingReply] = deque()
        self.last_received_at = counter.loop.time()
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection, or reset it if there are too many."""
        self.transport = cast(asyncio.Transport, transport)
        if len(self.counter.connections) >= self.counter.max_connections:
            self.transport.abort()
            return
        self.counter.connections.add(self)
        self.idle_timer = self.counter.loop.call_later(IDLE_TIMEOUT_S, self._close_if_idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection."""
        self.transport = None
        self.counter.connections.discard(self)
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def _close_if_idle(self) -> None:
        remaining_s = self.last_received_at + IDLE_TIMEOUT_S - self.counter.loop.time()
        if remaining_s > 0 or self.pending_replies:
            self.idle_timer = self.counter.loop.call_later(
                max(remaining_s, MIN_IDLE_CHECK_S), self._close_if_idle
            )
        elif self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Handle the lines that are complete; a line that is too long aborts the connection."""
        self.counter.counts.bytes_in += len(data)
        self.last_received_at = self.counter.loop.time()
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self._handle_line(line.strip())
        if len(self.buffer) > MAX_LINE_BYTES and self.transport is not None:
            self.transport.abort()

    def _handle_line(self, line: bytes) -> None:
        reply = PendingReply()
        self.pending_replies.append(reply)
        if line == b"ping":
            self.complete_reply(reply, b"pong")
            return
        try:
            call = parse_add(line)
        except CounterCallError:
            self.counter.counts.errors += 1
            self.complete_reply(reply, b"error")
            return
        self.counter.queue_call(self, reply, call)

    def complete_reply(self, reply: PendingReply, text: bytes) -> None:
        """Set the text of a reply, and send all complete replies that precede the first incomplete one."""
        reply.text = text
        ready_lines = []
        while self.pending_replies and (first_text := self.pending_replies[0].text) is not None:
            ready_lines.append(first_text + b"\r\n")
            self.pending_replies.popleft()
        if ready_lines and self.transport is not None:
            data = b"".join(ready_lines)
            self.counter.counts.bytes_out += len(data)
            self.transport.write(data)


class CounterServer:
    """The counter of a fleet.

    The number of connections is limited for all ingresses together, not for each one: they share one loopback
    address, so the counter cannot tell which ingress a connection belongs to.
    """

    def __init__(self, parts: int, calls_per_s: float, max_queued_calls: int, ingresses: int = 1) -> None:
        self.loop = asyncio.get_running_loop()
        self.parts = [CounterPart(calls_per_s, max_queued_calls) for _ in range(parts)]
        self.max_connections = MAX_CONNECTIONS_PER_INGRESS * ingresses
        self.connections: set[CounterConnection] = set()
        self.counts = CounterCounts()
        self._server: asyncio.Server | None = None
        self._expiry_timer: asyncio.TimerHandle | None = None

    async def listen(self) -> Address:
        """Open the listener on an ephemeral loopback port."""
        self._server = await self.loop.create_server(
            lambda: CounterConnection(self), "127.0.0.1", 0, backlog=4096
        )
        self._remove_expired_names()
        address: Address = self._server.sockets[0].getsockname()[:2]
        return address

    def queue_call(self, connection: CounterConnection, reply: PendingReply, call: AddCall) -> None:
        """Queue an `add` call at the part of its name, or reply `busy` if its queue is full."""
        part = self.parts[crc32(call.name) % len(self.parts)]
        self.counts.calls += 1
        done_at = part.queue_call(self.loop.time())
        if done_at is None:
            self.counts.busy += 1
            connection.complete_reply(reply, b"busy")
        else:
            self.loop.call_at(done_at, self._execute_call, part, connection, reply, call)

    def _execute_call(
        self, part: CounterPart, connection: CounterConnection, reply: PendingReply, call: AddCall
    ) -> None:
        total = part.add(call.name, call.amount, call.lifetime_s, self.loop.time())
        self.counts.answered += 1
        connection.complete_reply(reply, b"ok %.7g" % total)

    def _remove_expired_names(self) -> None:
        for part in self.parts:
            part.remove_expired_names(self.loop.time())
        self._expiry_timer = self.loop.call_later(EXPIRY_PERIOD_S, self._remove_expired_names)

    def close(self) -> None:
        """Close the listener and reset the connections."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
