"""The client of the shared counter: sends calls over a few persistent connections."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from ingress.counter.connection import CounterConnection
from ingress.counter.messages import (
    CounterCall,
    MalformedCounterReplyError,
    encode_add,
    parse_reply_line,
)
from ingress.interface import CounterReply, Outcome
from ingress.network.addresses import Address
from ingress.network.clock import Clock
from ingress.network.rate_limited_log import RateLimitedLog

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.25
DEFAULT_CALL_TIMEOUT_S = 0.05  # used if the settings contain no timeout
IDLE_TIMEOUT_S = 8.0  # the counter itself closes a connection after about 10 s without calls
MIN_IDLE_CHECK_INTERVAL_S = 0.5  # minimum time between two checks whether a connection is idle
MAX_CONNECTIONS = 8  # the counter accepts up to 32 connections from one ingress
SILENT_AFTER_TIMEOUTS = 6  # a connection is closed if a call is unanswered for this many timeouts
MAX_PENDING_CALLS = 2000  # unsent and unanswered calls; further calls are rejected
MAX_LOGGED_FAULTS = 20  # faults that are all logged; of the later ones only every hundredth is


class CounterClient:
    """A client of the shared counter that reports exactly one `CounterReply` for each call."""

    def __init__(
        self, address: Address, timeout_s: float, clock: Clock, on_reply: Callable[[CounterReply], None]
    ) -> None:
        """Create a client that connects on its first call; a `timeout_s` of 0 selects the default."""
        self.address = address
        self.timeout_s = timeout_s or DEFAULT_CALL_TIMEOUT_S
        self.clock = clock
        self.on_reply = on_reply
        self.loop = asyncio.get_running_loop()
        self.connections: list[CounterConnection] = []
        self.unsent_calls: deque[CounterCall] = deque()  # calls that wait for the first connection to open
        self.connect_task: asyncio.Task[None] | None = None  # connects to the current address
        self.all_connect_tasks: set[asyncio.Task[None]] = set()  # includes those to earlier addresses
        self.fault_log = RateLimitedLog(log, MAX_LOGGED_FAULTS)
        self.is_closed = False

    def increment(self, name: int, amount: float, lifetime_s: float) -> None:
        """Add the amount to the count `name`; if this creates the count, it is deleted after `lifetime_s`.

        Pass the outcome to `on_reply`, also if the counter does not reply.
        """
        call = CounterCall(name, encode_add(name, amount, lifetime_s), self.clock())
        if self._count_pending_calls() >= MAX_PENDING_CALLS:
            self.loop.call_soon(self._report, call, Outcome.REJECTED)
            return
        call.timer = self.loop.call_later(self.timeout_s, self._on_timeout, call)
        self._close_silent_connections(call.started_at)
        connection = self._choose_connection()
        if connection is None:
            self.unsent_calls.append(call)
        else:
            connection.write(call)

    def change_address(self, address: Address) -> None:
        """Send further calls to another address.

        Calls that were already sent may still get their replies from the old address.
        """
        self.address = address
        retired_connections = self.connections
        self.connections = []
        self.connect_task = None
        for connection in retired_connections:
            connection.retire(self.loop, self.timeout_s)
        if self.unsent_calls:
            self._start_connecting()

    def close(self) -> None:
        """Close all connections, including one that is being opened, and open no more."""
        self.is_closed = True
        self.connect_task = None
        for connection in list(self.connections):
            connection.close()

    # Choice of a connection

    def _count_pending_calls(self) -> int:
        return len(self.unsent_calls) + sum(
            len(connection.unanswered_calls) for connection in self.connections
        )

    def _close_silent_connections(self, now: float) -> None:
        """Close connections with a long unanswered call, since further calls on them would time out too."""
        earliest_allowed_start = now - SILENT_AFTER_TIMEOUTS * self.timeout_s
        for connection in [
            candidate
            for candidate in self.connections
            if candidate.has_unanswered_call_started_before(earliest_allowed_start)
        ]:
            self.fault_log.warning("counter connection silent")
            connection.close()

    def _choose_connection(self) -> CounterConnection | None:
        """Return the connection with the fewest unanswered calls, or None if there is no connection.

        If that connection has unanswered calls, start to open a further one.  Replies on a connection come in
        the order of the calls, and the counts are spread over several counter parts.  With one connection, a
        call to one part would have to wait for the reply of a slower part.
        """
        least_busy = min(
            self.connections, key=lambda connection: len(connection.unanswered_calls), default=None
        )
        if (
            (least_busy is None or least_busy.unanswered_calls)
            and self.connect_task is None
            and len(self.connections) < MAX_CONNECTIONS
        ):
            self._start_connecting()
        return least_busy

    # Connecting

    def _start_connecting(self) -> None:
        if self.is_closed:
            return
        task = self.loop.create_task(self._connect())
        self.connect_task = task
        self.all_connect_tasks.add(task)
        task.add_done_callback(self.all_connect_tasks.discard)

    async def _connect(self) -> None:
        connection = await self._open_connection()
        if self.connect_task is not asyncio.current_task():
            # The address was changed or the client was closed while the connection was being opened.
            if connection is not None:
                connection.close()
            return
        self.connect_task = None
        unsent_calls = self.unsent_calls
        self.unsent_calls = deque()
        if connection is not None and connection.is_open():
            self._add_connection(connection)
            for call in unsent_calls:
                if not call.is_reported:  # a call that timed out was reported as not executed
                    connection.write(call)
        else:
            for call in unsent_calls:
                self._report(call, Outcome.CONNECT_FAILED)

    async def _open_connection(self) -> CounterConnection | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    lambda: CounterConnection(self), *self.address
                )
        except OSError as error:  # includes TimeoutError
            log.debug("counter connect failed reason=%s", error)
            return None
        return connection

    def _add_connection(self, connection: CounterConnection) -> None:
        self.connections.append(connection)
        connection.last_written_at = self.clock()
        connection.idle_timer = self.loop.call_later(IDLE_TIMEOUT_S, self._close_if_idle, connection)

    def _close_if_idle(self, connection: CounterConnection) -> None:
        """Close an idle connection before the counter closes it, which could coincide with a new call."""
        time_left = connection.last_written_at + IDLE_TIMEOUT_S - self.clock()
        if time_left <= 0 and not connection.unanswered_calls:
            connection.close()
        else:
            delay = max(time_left, MIN_IDLE_CHECK_INTERVAL_S)
            connection.idle_timer = self.loop.call_later(delay, self._close_if_idle, connection)

    # Callbacks of the connections

    def on_reply_line(self, call: CounterCall, line: bytes) -> bool:
        """Report the reply; return whether it is valid, so that its connection can still be used.

        A malformed reply is reported as a timeout, since the counter may or may not have added the amount.
        """
        try:
            reply = parse_reply_line(line)
        except MalformedCounterReplyError as error:
            self.fault_log.warning("counter reply malformed reason=%s", error)
            self._report(call, Outcome.TIMEOUT)
            return False
        if reply.is_error:
            self.fault_log.warning("counter call refused line=%r", call.line)
        self._report(call, reply.outcome, reply.total)
        return True

    def on_protocol_fault(self, reason: str) -> None:
        """Log a violation of the protocol by the counter."""
        self.fault_log.warning("counter protocol fault reason=%s", reason)

    def on_connection_closed(
        self, connection: CounterConnection, unanswered_calls: deque[CounterCall]
    ) -> None:
        """Remove the connection and report its unanswered calls as timed out.

        They are not reported as failed, since the counter may have executed them.
        """
        if connection in self.connections:
            self.connections.remove(connection)
        while unanswered_calls:
            self._report(unanswered_calls.popleft(), Outcome.TIMEOUT)

    # Ends of calls

    def _on_timeout(self, call: CounterCall) -> None:
        """Report the call as timed out or, if it was never written, as not executed.

        A call that was written remains in the queue of unanswered calls, since its reply may still come
        and must not be taken for the reply to the next call.
        """
        call.timer = None
        is_unsent = any(unsent_call is call for unsent_call in self.unsent_calls)
        self._report(call, Outcome.CONNECT_FAILED if is_unsent else Outcome.TIMEOUT)

    def _report(self, call: CounterCall, outcome: Outcome, total: float = 0.0) -> None:
        """Pass the call's outcome to `on_reply`, unless an outcome was passed before."""
        if call.is_reported:
            return
        call.is_reported = True
        if call.timer is not None:
            call.timer.cancel()
        self.on_reply(CounterReply(call.name, outcome, total, self.clock() - call.started_at))
