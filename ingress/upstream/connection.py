"""One connection to a backend: it writes the command of an attempt and reads the reply."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Protocol, cast

import hiredis

from ingress.network.addresses import Address
from ingress.network.buffer_budget import BufferBudget
from ingress.network.frames import FrameError
from ingress.upstream.attempt import Attempt
from ingress.upstream.replies import BackendReply, find_reply_end, parse_reply


class ConnectionEndpoint(Protocol):
    """The part of a backend's endpoint that its connections use."""

    address: Address
    is_listed: bool
    idle_connections: list[BackendConnection]


class ConnectionOwner(Protocol):
    """The callbacks of a connection, implemented by the pool that made it."""

    reply_buffer: BufferBudget

    def on_reply(self, attempt: Attempt, reply: BackendReply) -> None:
        """Handle a valid reply to the attempt."""

    def on_malformed_reply(self, attempt: Attempt, error: FrameError) -> None:
        """Handle bytes that are not a valid reply; the connection has closed itself."""

    def on_connection_broken(self, connection: BackendConnection, attempt: Attempt) -> None:
        """Handle the end of the connection before the complete reply to the attempt arrived."""

    def on_idle_connection_broken(self, idle_s: float) -> None:
        """Handle the end of a connection before any byte of the reply to its attempt arrived.

        `idle_s` is the time for which the connection had been idle before the attempt, or 0 if it was new.
        """

    def on_connection_closed(self, connection: BackendConnection) -> None:
        """Handle that the connection has closed itself, for whatever reason."""

    def release_connection(self, connection: BackendConnection) -> None:
        """Take back a connection that can carry another attempt."""


class BackendConnection(asyncio.Protocol):
    """One connection to a backend.

    A connection carries one attempt at a time, since replies have no ids.  An attempt that was written can
    therefore only be abandoned by closing the connection.
    """

    def __init__(
        self, owner: ConnectionOwner, endpoint: ConnectionEndpoint, address: Address, sock: socket.socket
    ) -> None:
        self.owner = owner
        self.endpoint = endpoint
        self.address = address  # address that was connected to; the endpoint's address may change later
        self.sock = sock
        self.parser = hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None  # attempt that waits for its reply
        self.buffer = b""  # bytes of a reply that is not complete yet
        self.idle_since = 0.0  # time of the last change to idle; 0 if it never was idle
        self.idle_before_attempt_s = 0.0  # idle time before the current attempt; 0 if the connection was new
        self.is_open = True
        # Whether part of the command has not been handed to the operating system yet.  If so, the backend
        # cannot have executed the command.
        self.has_unsent_bytes = False

    # Callbacks from the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and make it call `pause_writing` as soon as it has to buffer any bytes."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has its own transport class
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Record that part of the command is still in the transport's buffer."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Record that the complete command was handed to the operating system."""
        self.has_unsent_bytes = False

    def data_received(self, data: bytes) -> None:
        """Add bytes to the reply; once the reply is complete, report it and become idle."""
        attempt = self.attempt
        if attempt is None:
            # No attempt waits for a reply, so these bytes could be taken for the reply to the next attempt.
            self.close()
            return
        self.buffer = received = self.buffer + data if self.buffer else data
        self.owner.reply_buffer.used_bytes += len(data)
        try:
            end = find_reply_end(received)
            if end < 0:
                self._check_buffer_budget()
                return
            reply = parse_reply(received[:end], self.parser)
        except FrameError as error:
            # The backend may have executed the request, and nothing that follows on this connection can be
            # interpreted.
            self.close()
            self.owner.on_malformed_reply(attempt, error)
            return
        self.attempt = None
        self._clear_buffer()
        if end < len(received):
            self.close()  # bytes after the reply could be taken for the next reply
        else:
            self.owner.release_connection(self)
        self.owner.on_reply(attempt, reply)

    def eof_received(self) -> None:
        """Treat the connection as lost, since the backend has closed its side."""
        self.connection_lost(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection, and report the attempt that was waiting for its reply."""
        attempt = self.attempt
        self.attempt = None
        if attempt is not None and not self.buffer:
            self.owner.on_idle_connection_broken(self.idle_before_attempt_s)
        self.close()
        if attempt is not None:
            self.owner.on_connection_broken(self, attempt)

    # Called by the pool

    def send(self, attempt: Attempt, now: float) -> None:
        """Write the attempt's command.  The connection must be open and carry no other attempt."""
        assert self.transport is not None
        attempt.connection = self
        self.attempt = attempt
        self.idle_before_attempt_s = now - self.idle_since if self.idle_since else 0.0
        self.transport.write(attempt.encode_command(now))

    def is_current(self) -> bool:
        """Return whether the connection leads to the current address of its backend.

        Another backend may be listening at an address that this backend had before.
        """
        return self.endpoint.is_listed and self.address == self.endpoint.address

    def close(self) -> None:
        """Close the connection immediately.

        An aborted transport ends the connection only in the next iteration of the event loop, when the next
        attempt of the request may already be written.  The socket is therefore shut down here, so that two
        attempts of a request are never in flight together.
        """
        if not self.is_open:
            return
        self.is_open = False
        self.attempt = None
        self._clear_buffer()
        with contextlib.suppress(OSError):  # the backend may have closed the connection already
            self.sock.shutdown(socket.SHUT_RDWR)
        if self.transport is not None:
            self.transport.abort()
        self.owner.on_connection_closed(self)

    def _check_buffer_budget(self) -> None:
        if self.owner.reply_buffer.is_exceeded():
            # Large values that arrive on many connections at the same time must not use up all memory.
            raise FrameError("incomplete replies exceed the memory limit for them")

    def _clear_buffer(self) -> None:
        self.owner.reply_buffer.used_bytes -= len(self.buffer)
        self.buffer = b""
