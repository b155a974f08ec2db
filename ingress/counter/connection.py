"""One connection to the shared counter: calls are pipelined, and matched to their replies by order."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol, cast

from ingress.counter.messages import MAX_REPLY_LINE_BYTES, CounterCall


class CounterConnectionOwner(Protocol):
    """The callbacks of a connection, implemented by the client that opened it."""

    def on_reply_line(self, call: CounterCall, line: bytes) -> bool:
        """Handle the reply to a call; return whether the connection can still be used."""

    def on_protocol_fault(self, reason: str) -> None:
        """Handle a violation of the protocol by the counter; the connection closes itself afterwards."""

    def on_connection_closed(
        self, connection: CounterConnection, unanswered_calls: deque[CounterCall]
    ) -> None:
        """Handle the end of a connection; the counter may have executed its unanswered calls."""


class CounterConnection(asyncio.Protocol):
    """One connection to the counter."""

    def __init__(self, owner: CounterConnectionOwner) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.last_written_at = 0.0  # time of the last call in seconds, on the client's clock
        self.idle_timer: asyncio.TimerHandle | None = None
        self.unanswered_calls: deque[CounterCall] = deque()  # in the order in which they were written
        self.partial_line = b""  # received bytes after the last complete line
        self.is_retired = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for writing."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has its own transport class

    def data_received(self, data: bytes) -> None:
        """Pass each complete line to the owner as the reply to the oldest unanswered call."""
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            if not self.unanswered_calls:
                self.owner.on_protocol_fault("unsolicited answer")
                self.close()
                return
            if not self.owner.on_reply_line(self.unanswered_calls.popleft(), line.strip()):
                self.close()
                return
        if self.is_retired and not self.unanswered_calls:
            self.close()
        if len(self.partial_line) > MAX_REPLY_LINE_BYTES:
            self.owner.on_protocol_fault("line too long")
            self.close()

    def eof_received(self) -> None:
        """Close the connection, since the counter has closed its side."""
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection after it has ended."""
        self.close()

    def write(self, call: CounterCall) -> None:
        """Write the call.  The connection must be open."""
        assert self.transport is not None
        self.unanswered_calls.append(call)
        self.transport.write(call.line)
        self.last_written_at = call.started_at

    def is_open(self) -> bool:
        """Return whether calls can be written."""
        return self.transport is not None

    def has_unanswered_call_started_before(self, time: float) -> bool:
        """Return whether the oldest unanswered call was started before `time`."""
        return bool(self.unanswered_calls) and self.unanswered_calls[0].started_at < time

    def retire(self, loop: asyncio.AbstractEventLoop, timeout_s: float) -> None:
        """Close the connection after the reply to its last call, or after `timeout_s`.

        No further call may be written.
        """
        self.is_retired = True
        if self.unanswered_calls:
            loop.call_later(timeout_s, self.close)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection immediately.  The counter may have executed its unanswered calls."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        self.owner.on_connection_closed(self, self.unanswered_calls)
