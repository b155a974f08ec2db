"""One connection to a backend: it writes the command of an attempt and reads the reply."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Protocol, cast

from ingress.network.addresses import Address
from ingress.network.buffer_budget import BufferBudget
from ingress.network.frames import INCOMPLETE, FrameError
from ingress.upstream.attempt import Attempt
from ingress.upstream.replies import (
    PING_COMMAND,
    BackendReply,
    find_ping_reply_end,
    find_reply_end,
    is_ping_error,
    parse_reply,
)
from ingress.upstream.reply_matcher import ReplyMatcher


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

    def on_duplicate_reply(self, attempt: Attempt) -> None:
        """Handle that a duplicate of an earlier reply arrived ahead of the reply to the attempt."""

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
        self.matcher = ReplyMatcher()
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
        """Record that part of the command is still in the transport's buffer.

        A PING is only written behind a complete command, so its bytes do not count.
        """
        self.has_unsent_bytes = self.matcher.held_reply is None

    def resume_writing(self) -> None:
        """Record that the complete command was handed to the operating system."""
        self.has_unsent_bytes = False

    def data_received(self, data: bytes) -> None:
        """Add bytes to the reply; once it is complete and known to be the attempt's, report it."""
        attempt = self.attempt
        if attempt is None:
            # No attempt waits for a reply, so these bytes could be taken for the reply to the next attempt.
            self.close()
            return
        if self.has_unsent_bytes and self.matcher.has_history:
            # Backends reply to complete commands only, so these bytes belong to an earlier command.
            self.close()
            self.owner.on_connection_broken(self, attempt)
            return
        self.buffer = self.buffer + data if self.buffer else data
        self.owner.reply_buffer.used_bytes += len(data)
        try:
            reply = self._take_reply()
        except FrameError as error:
            # The backend may have executed the request, and nothing that follows on this connection can be
            # interpreted.
            self.close()
            self.owner.on_malformed_reply(attempt, error)
            return
        if reply is not None:
            self._finish_attempt(attempt, reply)

    def eof_received(self) -> None:
        """Treat the connection as lost, since the backend has closed its side."""
        self.connection_lost(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection, and report the attempt that was waiting for its reply."""
        attempt = self.attempt
        self.attempt = None
        if attempt is not None and not self.buffer and self.matcher.held_reply is None:
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

    # Replies

    def _take_reply(self) -> BackendReply | None:
        """Take frames from the buffer until one is the reply to the attempt; None if more has to arrive.

        Raise FrameError if the bytes are malformed.
        """
        while True:
            is_held = self.matcher.held_reply is not None
            end = find_ping_reply_end(self.buffer) if is_held else 0
            if end > 0:
                self._drop_from_buffer(end)
                return self.matcher.confirm_held_reply()
            if end != INCOMPLETE:
                end = find_reply_end(self.buffer)
            if end == INCOMPLETE:
                self._check_buffer_budget()
                return None
            frame = self._drop_from_buffer(end)
            if is_held and is_ping_error(frame):
                return self.matcher.confirm_held_reply()
            reply = self.matcher.match(parse_reply(frame))
            if reply is not None:
                return reply
            if not is_held:
                self._send_ping()

    def _send_ping(self) -> None:
        assert self.transport is not None
        self.transport.write(PING_COMMAND)

    def _finish_attempt(self, attempt: Attempt, reply: BackendReply) -> None:
        """Report the reply, and become idle unless more bytes than the reply came or are to come."""
        self.attempt = None
        self.matcher.remember(reply)
        has_duplicate = self.matcher.duplicate_count > 0
        if has_duplicate or self.buffer:
            self.close()  # what follows could be taken for the next reply
        else:
            self.owner.release_connection(self)
        if has_duplicate:
            self.owner.on_duplicate_reply(attempt)
        self.owner.on_reply(attempt, reply)

    def _check_buffer_budget(self) -> None:
        if self.owner.reply_buffer.is_exceeded():
            # Large values that arrive on many connections at the same time must not use up all memory.
            raise FrameError("incomplete replies exceed the memory limit for them")

    def _drop_from_buffer(self, size: int) -> bytes:
        """Remove the first `size` bytes from the buffer and return them."""
        dropped = self.buffer[:size]
        self.buffer = self.buffer[size:]
        self.owner.reply_buffer.used_bytes -= size
        return dropped

    def _clear_buffer(self) -> None:
        self.owner.reply_buffer.used_bytes -= len(self.buffer)
        self.buffer = b""
