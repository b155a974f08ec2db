"""One client connection: reads commands and writes their replies in the order of the commands."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import cast

import hiredis

from ingress.downstream import timeouts
from ingress.downstream.client_input import ClientInput
from ingress.downstream.close_reason import CloseReason
from ingress.downstream.command_executor import CommandExecutor
from ingress.downstream.connection_owner import ConnectionOwner
from ingress.downstream.read_pause import ReadPause
from ingress.downstream.request_handler import PendingReply
from ingress.network.frames import FrameError
from ingress.network.sockets import has_unread_bytes

MAX_PIPELINED = 64  # unanswered commands of a connection; at this number, no further commands are taken
MAX_DISCARDED_BYTES = 1024 * 1024  # input that a closing connection discards before it stops reading


class ClientConnection(asyncio.Protocol):
    """The asyncio protocol of one client connection."""

    def __init__(self, owner: ConnectionOwner[ClientConnection], sock: socket.socket) -> None:
        self.owner = owner
        self.sock = sock
        self.pending_replies: deque[PendingReply] = deque()  # in the order of their commands
        self.transport: asyncio.Transport | None = None
        # When the connection was established or its last pending reply was written.
        self.idle_since = owner.clock()
        self.input = ClientInput(owner.input_limiter.budget, self.idle_since)
        self.write_blocked_since: float | None = None  # when the write buffer became full
        self.command_executor = CommandExecutor(owner)
        self.discarded_bytes = 0
        self.is_pipeline_full = False
        self.is_input_ended = False  # further input is discarded; the buffered commands are still taken
        self.is_closing = False  # takes no more commands and closes after all pending replies are written
        self.close_reason = CloseReason.CLIENT_LEFT  # the reason unless this side closes
        self.read_pause = ReadPause(owner.loop, sock, self.update_reading)

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to use the established connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has its own transport class
        self.idle_since = self.owner.clock()
        self.owner.mark_new(self)
        if not self.owner.input_limiter.may_read(self):
            # Deferred, because the transport starts to read only after this callback.
            self.owner.loop.call_soon(self.update_reading)

    def data_received(self, data: bytes) -> None:
        """Buffer received input and execute the commands that it completes."""
        if self.is_closing or self.is_input_ended:
            self._discard_input(len(data))
            return
        self.input.append(data, self.owner.clock())
        if self._is_back_pressured():
            self.update_reading()
        else:
            self._process_buffer()
        if self.owner.input_limiter.must_act():
            self.owner.input_limiter.enforce()

    def pause_writing(self) -> None:
        """Take no further commands while the write buffer is full because the client reads too slowly."""
        self.write_blocked_since = self.owner.clock()
        self.update_reading()

    def resume_writing(self) -> None:
        """Take commands again, now that the write buffer has room."""
        self.write_blocked_since = None
        self.owner.loop.call_soon(self._process_buffer)

    def eof_received(self) -> None:
        """Treat the end of the client's input as a disconnect."""
        self._handle_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel unanswered requests and report the closed connection to the owner."""
        self._handle_disconnect()
        self.owner.on_connection_closed(self)

    # Methods that the listener and the pending replies call

    def flush(self) -> None:
        """Write the replies that are ready, in the order of their commands."""
        ready = []
        while self.pending_replies and self.pending_replies[0].data is not None:
            ready.append(self.pending_replies.popleft().data or b"")
        if self.transport is None or not ready:
            return
        self.transport.write(ready[0] if len(ready) == 1 else b"".join(ready))
        if not self.pending_replies:
            self._on_all_replies_written(self.transport)
        if self.is_pipeline_full and not self.is_closing and len(self.pending_replies) <= MAX_PIPELINED // 2:
            self.is_pipeline_full = False
            self.owner.loop.call_soon(self._process_buffer)

    def has_empty_buffers(self) -> bool:
        """Return whether closing loses nothing: no input is buffered or unread, and no reply is unsent.

        Closing a socket with unread input resets the connection, which may also destroy the reply before it.
        """
        return self.transport is None or not (
            self.input.buffer or has_unread_bytes(self.sock) or self.transport.get_write_buffer_size()
        )

    def close_if_idle(self) -> None:
        """Close the connection unless a command or reply is pending; `enforce_timeouts` retries later."""
        if self.transport is not None and not self.pending_replies and self.has_empty_buffers():
            self.close_reason = CloseReason.IDLE
            self.transport.close()

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection if its client has been too slow or idle for too long at the time `now`.

        Each timeout runs from the start of the wait, so a client cannot extend it by sending single bytes.
        """
        if self.transport is None:
            return
        if self.input.is_suspended and not self.has_unread_input():
            self.input.record_empty_socket(now)
        if self.is_closing and not self.pending_replies:
            if now - self.idle_since > timeouts.LINGER_TIMEOUT_S:
                self.transport.abort()
        elif self.write_blocked_since is not None:
            if now - self.write_blocked_since > timeouts.READ_TIMEOUT_S:
                self.close_reason = CloseReason.READ_TIMEOUT
                self.transport.abort()
        elif self.holds_only_partial_command():
            self._enforce_partial_command_timeout(now)
        elif not self.pending_replies:
            timeout_s = timeouts.compute_idle_timeout_s(self.owner.is_new(self), self.owner.is_draining)
            if now - self.idle_since > timeout_s:
                self.close_if_idle()

    def _enforce_partial_command_timeout(self, now: float) -> None:
        """Reject an overdue incomplete command; if more of it lies unread, only after a grace time."""
        if self.input.is_overdue(now) and (self.input.is_grace_over(now) or not self.has_unread_input()):
            self._close_with_error(
                "the rest of the command did not come", CloseReason.PARTIAL_COMMAND_TIMEOUT
            )

    # Methods that the input limiter calls

    def holds_only_partial_command(self) -> bool:
        """Return whether the buffered input is one incomplete command and nothing else.

        Closing then drops no complete command but those that are still unread.
        """
        return self.takes_input() and self.input.holds_only_partial_command()

    def takes_input(self) -> bool:
        """Return whether input that is read now is processed at once."""
        is_open = self.transport is not None and not self.is_closing and not self.is_input_ended
        return is_open and not self._is_back_pressured()

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that was not read yet."""
        return has_unread_bytes(self.sock)

    def reject_partial_command(self) -> None:
        """Answer the incomplete command with an error, drop it, and close the connection."""
        self._close_with_error("too much is on the way", CloseReason.INPUT_LIMIT)

    def update_reading(self) -> None:
        """Pause or resume reading.

        Under back-pressure, reading is paused once the input of all connections uses half of its budget.
        Below half of the budget it continues, because a disconnect is detected fastest by reading.
        """
        if self.transport is None or self.transport.is_closing() or self.is_closing or self.is_input_ended:
            return
        if not self.owner.input_limiter.may_read(self):
            self.input.suspend(self.owner.clock())
            self.read_pause.pause(self.transport)
            return
        if self.input.is_suspended:
            self.input.resume(self.has_unread_input())
        if self._is_back_pressured() and self.owner.input_limiter.budget.is_half_used():
            self.read_pause.pause(self.transport)
        else:
            self.transport.resume_reading()

    # Commands

    def _process_buffer(self) -> None:
        """Execute the complete commands in the buffer, as many as back-pressure allows."""
        has_partial_command = False
        while self._can_take_command():
            try:
                arguments = self.input.buffer.take_command()
            except (FrameError, hiredis.HiredisError) as error:
                self._close_with_error(str(error), CloseReason.MALFORMED_INPUT)
                break
            if arguments is None:
                has_partial_command = True
                break
            self.input.partial_command_since = None
            self._handle_command(arguments)
        if self.is_closing or self.transport is None:
            self.input.buffer.clear()
        else:
            self.input.buffer.drop_taken_bytes()
        self.input.record_examined(has_partial_command)
        self.update_reading()

    def _can_take_command(self) -> bool:
        """Return whether a command may be taken now; update `is_pipeline_full`."""
        if self.transport is None or self.is_closing or self.write_blocked_since is not None:
            return False
        self.is_pipeline_full = len(self.pending_replies) >= MAX_PIPELINED
        return not self.is_pipeline_full and self.input.buffer.has_untaken_bytes()

    def _handle_command(self, arguments: list[bytes]) -> None:
        reply = self._add_pending_reply()
        self._close_after_last_command()  # before the command is executed, as its reply may be sent at once
        error_reply = self.command_executor.execute(reply, arguments, self.input.arrived_at)
        if error_reply is not None:
            if self.command_executor.is_malformed_limit_reached():
                self._end_input()
                self._close_after_last_command()
            reply.answer(error_reply)

    def _add_pending_reply(self) -> PendingReply:
        if not self.pending_replies:
            self.owner.mark_busy(self)
        reply = PendingReply(self)
        self.pending_replies.append(reply)
        return reply

    # Closing

    def _end_input(self) -> None:
        """Take no further input, and of the buffered commands those up to the last valid request."""
        if not self.is_input_ended:
            self.is_input_ended = True
            self.input.buffer.keep_through_last(self.command_executor.is_valid_request)

    def _close_after_last_command(self) -> None:
        if self.is_input_ended and not self.input.buffer.has_untaken_bytes():
            self.close_reason = CloseReason.MALFORMED_INPUT
            self.is_closing = True

    def _close_with_error(self, reason: str, close_reason: CloseReason) -> None:
        """Send an error after the pending replies and close, since further input cannot be parsed."""
        self.owner.log_malformed_command(reason)
        self.close_reason = close_reason
        self.is_closing = True
        self.input.buffer.clear()
        text = reason.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")
        self._add_pending_reply().answer(b"-ERR %b\r\n" % text)

    def _discard_input(self, size: int) -> None:
        """Discard input of a closing connection, since a close with unread input resets the connection."""
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def _on_all_replies_written(self, transport: asyncio.Transport) -> None:
        self.idle_since = self.owner.clock()
        self.owner.mark_idle(self)
        if self.is_closing:
            transport.write_eof()
        elif self.owner.is_draining:
            # Deferred, because more commands may have arrived together with the one just answered.
            self.owner.loop.call_soon(self.close_if_idle)

    def _handle_disconnect(self) -> None:
        """Cancel the unanswered requests of a client that has disconnected."""
        self.transport = None
        pending_replies = self.pending_replies
        self.pending_replies = deque()
        self.input.buffer.clear()
        self.owner.mark_busy(self)
        for reply in pending_replies:
            if reply.data is None:
                reply.data = b""  # makes `PendingReply.answer` ignore a later answer
                self.owner.handler.on_client_disconnected(reply)

    # Back-pressure

    def _is_back_pressured(self) -> bool:
        """Return whether commands are held back because the pipeline or the write buffer is full."""
        return self.is_pipeline_full or self.write_blocked_since is not None
