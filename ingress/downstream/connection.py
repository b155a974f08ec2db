"""One client connection: reads commands and writes their replies in the order of the commands."""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
from typing import cast

from ingress.downstream import timeouts
from ingress.downstream.client_input import ClientInput
from ingress.downstream.close_reason import CloseReason
from ingress.downstream.command_executor import CommandExecutor
from ingress.downstream.commands import encode_error_reply
from ingress.downstream.connection_owner import ConnectionOwner
from ingress.downstream.discarded_input import DiscardedInput
from ingress.downstream.read_buffer import READ_BYTES
from ingress.downstream.read_pause import ReadPause
from ingress.downstream.reply_queue import ReplyQueue
from ingress.downstream.request_handler import PendingReply
from ingress.downstream.timeout_check import enforce_timeouts
from ingress.downstream.waiting_requests import WaitingRequests
from ingress.network.frames import FrameError
from ingress.network.sockets import has_peer_left, has_unread_bytes

MAX_PIPELINED = 64  # unanswered commands of a connection; at this number, no further commands are taken
# Unprocessed input of a connection that waits, above which it is not read further.
MAX_BACKLOG_BYTES = 1024 * 1024
MAX_BACKLOG_SHARE = 1 / 16  # of the budget for the input of all connections
CONNECTION_NUMBERS = itertools.count(1)


class ClientConnection(asyncio.BufferedProtocol):
    """The asyncio protocol of one client connection."""

    def __init__(self, owner: ConnectionOwner[ClientConnection], sock: socket.socket) -> None:
        self.owner = owner
        self.sock = sock
        self.connection_number = next(CONNECTION_NUMBERS)
        self.pending_replies = ReplyQueue(self)
        self.transport: asyncio.Transport | None = None
        self.idle_since = owner.clock()  # when it was established or its last pending reply was written
        self.input = ClientInput(owner.input_limiter.budget, self.idle_since)
        self.write_blocked_since: float | None = None  # when the write buffer became full
        self.command_executor = CommandExecutor(owner)
        self.discarded_input = DiscardedInput()
        self.waiting_requests = WaitingRequests(owner.handler, self.connection_number, self.input.buffer)
        self.is_pipeline_full = False
        self.has_backlog = False  # waits for its turn to process buffered input
        self.is_closing = False  # takes no more commands and closes after all pending replies are written
        self.close_reason = CloseReason.CLIENT_LEFT  # the reason unless this side closes
        self.read_pause = ReadPause(owner.loop, sock, self.update_reading)

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to use the established connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has its own class
        self.idle_since = self.owner.clock()
        self.owner.mark_new(self)

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the memory for the next read, which is small while the memory for input is short."""
        return self.owner.read_buffer.get(is_small=self.owner.input_limiter.must_read_little(self))

    def buffer_updated(self, size: int) -> None:
        """Process the `size` bytes that were read."""
        self._receive(self.owner.read_buffer.copy(size))

    def _receive(self, data: bytes) -> None:
        """Buffer received input, and have the commands that it completes executed soon."""
        if self.is_closing:
            self.discarded_input.discard(len(data), self.transport)
            return
        self.input.append(data, self.owner.clock())
        if not self._is_back_pressured():
            self.has_backlog = True
            # Behind a full buffer there is more to read, perhaps the close of the connection.
            self.owner.input_scheduler.process_new_input(self, is_complete=len(data) < READ_BYTES)
        if self.has_backlog or self._is_back_pressured():
            self.waiting_requests.reserve_ids()
            self.update_reading()
        self.owner.input_limiter.on_input(self)

    def pause_writing(self) -> None:
        """Take no further commands while the write buffer is full because the client reads too slowly."""
        self.write_blocked_since = self.owner.clock()
        self.update_reading()

    def resume_writing(self) -> None:
        """Take commands again, now that the write buffer has room."""
        self.write_blocked_since = None
        self._schedule_processing()

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
        if self.transport is None or not (ready := self.pending_replies.take_ready()):
            return
        self.transport.write(ready)
        if not self.pending_replies:
            self._on_all_replies_written(self.transport)
        if self.is_pipeline_full and not self.is_closing and len(self.pending_replies) <= MAX_PIPELINED // 2:
            self.is_pipeline_full = False
            self._schedule_processing()

    def check_client_present(self) -> bool:
        """Return whether the client is still connected; if it is not, cancel its requests.

        The event loop reports a close only behind the input before it, and not while reading is paused.
        """
        if self.transport is not None and has_peer_left(self.sock):
            self.transport.abort()
            self._handle_disconnect()
        return self.transport is not None

    def has_empty_buffers(self) -> bool:
        """Return whether closing loses nothing: no input is buffered or unread, and no reply is unsent.

        A close over unread input resets the connection, which may also destroy the reply before it.
        """
        if self.transport is None:
            return True
        return not (self.input.buffer or self.has_unread_input() or self.transport.get_write_buffer_size())

    def close_if_idle(self) -> None:
        """Close the connection unless a command or reply is pending; `enforce_timeouts` retries later."""
        if self.transport is not None and not self.pending_replies and self.has_empty_buffers():
            self.close_reason = CloseReason.IDLE
            self.transport.close()

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection if its client has been too slow or idle for too long at the time `now`."""
        if self.transport is not None:
            enforce_timeouts(self, now)

    @property
    def idle_timeout_s(self) -> float:
        """How long the connection may stay without a command, in seconds."""
        return timeouts.compute_idle_timeout_s(self.owner.is_new(self), self.owner.is_draining)

    def abort(self, close_reason: CloseReason | None) -> None:
        """Close the connection at once; None leaves the reason that was set before."""
        if self.transport is not None:
            self.close_reason = close_reason or self.close_reason
            self.transport.abort()

    # Methods that the input limiter calls

    def holds_only_partial_command(self) -> bool:
        """Return whether the buffered input is one incomplete command and nothing else.

        Closing then drops no complete command but those that are still unread.
        """
        return self.takes_input() and self.input.holds_only_partial_command()

    def takes_input(self) -> bool:
        """Return whether input that is read now is processed at once."""
        return self.transport is not None and not self.is_closing and not self._is_back_pressured()

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that was not read yet."""
        return has_unread_bytes(self.sock)

    def reject_partial_command(self, text: str, close_reason: CloseReason) -> None:
        """Answer the incomplete command with an error, drop it, and close the connection."""
        self._close_with_error(text, close_reason)

    def update_reading(self) -> None:
        """Pause or resume reading.

        It is paused while the connection holds much input that waits, and while it holds any of it once
        half of the input's budget is used.  Otherwise it goes on, as a close is seen only behind the input.
        """
        if self.transport is None or self.transport.is_closing():
            return
        if self.is_closing:
            self.discarded_input.resume_reading(self.transport)
        elif self._must_pause_reading():
            self.input.suspend(self.owner.clock())
            self.read_pause.pause(self.transport)
        else:
            self.input.resume_if_suspended(self.has_unread_input)
            self.transport.resume_reading()

    # Commands

    def process_input(self, end_time: float) -> bool:
        """Execute at least one command, and more until `end_time`; return whether there are further ones."""
        if not self.has_backlog or not self.check_client_present():
            return False
        self.has_backlog = False
        self._execute_commands(end_time)
        self.update_reading()
        return self.has_backlog

    def _execute_commands(self, end_time: float) -> None:
        has_partial_command = False
        while not self.has_backlog and self._can_take_command():
            try:
                arguments = self.input.take_command()
            except FrameError as error:
                self._close_with_error(str(error), CloseReason.MALFORMED_INPUT)
                break
            if arguments is None:
                has_partial_command = True
                break
            self.waiting_requests.release_id(arguments)
            self.command_executor.execute(self._add_pending_reply(), arguments, self.input.command_arrived_at)
            self.has_backlog = time.monotonic() >= end_time and self._can_take_command()
        if self.is_closing or self.transport is None:
            self.input.buffer.clear()
        else:
            self.input.buffer.drop_taken_bytes()
        if not self.has_backlog:
            self.input.record_examined(has_partial_command)
        if self.has_backlog or self.is_pipeline_full:
            self.waiting_requests.reserve_ids()

    def _schedule_processing(self) -> None:
        if self.transport is not None:
            self.has_backlog = True
            self.owner.input_scheduler.schedule(self)

    def _can_take_command(self) -> bool:
        """Return whether a command may be taken now; update `is_pipeline_full`."""
        if self.transport is None or self.is_closing or self.write_blocked_since is not None:
            return False
        self.is_pipeline_full = len(self.pending_replies) >= MAX_PIPELINED
        return not self.is_pipeline_full and self.input.buffer.has_untaken_bytes()

    def _add_pending_reply(self) -> PendingReply:
        if not self.pending_replies:
            self.owner.mark_busy(self)
        return self.pending_replies.add()

    # Closing

    def _close_with_error(self, reason: str, close_reason: CloseReason) -> None:
        """Send an error after the pending replies and close, since further input cannot be parsed."""
        self.owner.log_malformed_command(reason)
        self.close_reason, self.is_closing = close_reason, True
        self.input.buffer.clear()
        self.waiting_requests.release_all()
        self._add_pending_reply().answer(encode_error_reply(reason))
        self.update_reading()

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
        self.owner.input_scheduler.discard(self)
        self.input.buffer.clear()
        self.waiting_requests.release_all()
        self.owner.mark_busy(self)
        self.pending_replies.abandon(self.owner.handler.on_client_disconnected)

    def _must_pause_reading(self) -> bool:
        limiter = self.owner.input_limiter
        if not limiter.may_read(self):
            return True
        if not (self.has_backlog or self._is_back_pressured()):
            return False
        max_bytes = min(MAX_BACKLOG_BYTES, limiter.budget.max_bytes * MAX_BACKLOG_SHARE)
        return len(self.input.buffer) > max_bytes or limiter.budget.is_half_used()

    def _is_back_pressured(self) -> bool:
        """Return whether commands are held back because the pipeline or the write buffer is full."""
        return self.is_pipeline_full or self.write_blocked_since is not None
