"""Send attempts to backends on pooled connections."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from ingress.interface import Backend, Outcome
from ingress.network.addresses import Address
from ingress.network.buffer_budget import BufferBudget
from ingress.network.clock import Clock
from ingress.network.frames import FrameError
from ingress.network.rate_limited_log import RateLimitedLog
from ingress.upstream.attempt import Attempt
from ingress.upstream.connecting import is_local_error, open_connection
from ingress.upstream.connection import BackendConnection
from ingress.upstream.endpoint import EndpointTable, UpstreamEndpoint
from ingress.upstream.idle import IdleConnections
from ingress.upstream.replies import BackendReply

log = logging.getLogger(__name__)

MAX_LOGGED_FAULTS = 50  # faults that are all logged; of the later ones only every hundredth is
SWEEP_INTERVAL_S = 1.0  # time between two checks for connections whose idle timeout is over
# Time reserved for a command to reach its backend, whose zone may be more distant than that of the previous
# attempt's backend.
TRANSIT_MARGIN_S = 0.01

# The arguments are the attempt, its outcome, the value (None unless the outcome is OK), and the load report
# (empty if there is none).
AttemptEndCallback = Callable[[Attempt, Outcome, bytes | None, dict[str, float]], None]


class ConnectionPool:
    """The connections to all backends.

    For each attempt that is started, `on_attempt_end` is called exactly once.
    """

    def __init__(
        self,
        max_connections: int,
        max_buffered_bytes: int,
        connect_timeout_s: float,
        backend_idle_timeout_s: float,
        clock: Clock,
        on_attempt_end: AttemptEndCallback,
    ) -> None:
        """Make a pool without backends; an event loop must be running.

        The limits apply to all backends together.  `backend_idle_timeout_s` is the time after which a backend
        closes an idle connection.
        """
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.clock = clock
        self.on_attempt_end = on_attempt_end
        self.loop = asyncio.get_running_loop()
        self.endpoint_table = EndpointTable()
        self.idle_connections = IdleConnections(self.endpoint_table, backend_idle_timeout_s)
        self.reply_buffer = BufferBudget(max_buffered_bytes)
        self.connection_count = 0  # connections that are open or being opened
        self.fault_log = RateLimitedLog(log, MAX_LOGGED_FAULTS)
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def close(self) -> None:
        """Close the idle connections; those in use are closed when the process ends."""
        self.sweep_timer.cancel()
        self.idle_connections.close_all()

    # Endpoints

    def update_endpoints(
        self, is_complete_list: bool, backends: tuple[Backend, ...], addresses: Mapping[str, Address]
    ) -> set[str]:
        """Apply the complete list of backends, or only the entries that changed.

        Return the ids of the backends whose addresses belong to others, which are treated as removed: what
        was sent there would reach another backend.
        """
        table = self.endpoint_table
        apply = table.replace_list if is_complete_list else table.update_entries
        return apply(backends, addresses)

    def close_idle_connections(self, backend_id: str) -> None:
        """Close the idle connections to the backend."""
        endpoint = self.endpoint_table.contacted_endpoints.get(backend_id)
        if endpoint is not None:
            endpoint.close_idle_connections()

    # Attempts

    def start_attempt(self, attempt: Attempt) -> None:
        """Send the attempt as soon as a connection can take it."""
        endpoint = self.endpoint_table.find_or_create(attempt.backend_id)
        time_left = attempt.deadline - attempt.sent_at
        if endpoint is None or time_left <= 0:
            self._finish_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        attempt.deadline_timer = self.loop.call_later(time_left, self._on_deadline, attempt)
        self._assign_connection(endpoint, attempt, may_wait_for_reuse=True)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """End the attempt, and close the connection that it was written to, if any."""
        self._abandon_attempt(attempt, Outcome.CANCELLED)

    def cancel_attempt_if_unsent(self, attempt: Attempt) -> None:
        """End an attempt that its client no longer needs, unless the attempt was fully written.

        An attempt that was fully written continues: closing its connection would not stop the backend's work.
        """
        if not attempt.is_fully_written():
            self._abandon_attempt(attempt, Outcome.SUPERSEDED)

    def _assign_connection(
        self, endpoint: UpstreamEndpoint, attempt: Attempt, may_wait_for_reuse: bool
    ) -> None:
        """Write the attempt to an idle connection, or open a connection for it.

        With `may_wait_for_reuse`, wait for the reuse delay first if no idle connection can be reused yet.
        """
        if attempt.has_ended:
            return
        if endpoint.is_draining:
            self._finish_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        connection = self.idle_connections.take_connection(endpoint, self.clock())
        if connection is not None:
            self._send_attempt(connection, attempt)
        elif may_wait_for_reuse and endpoint.idle_connections:
            self.loop.call_later(
                self.idle_connections.reuse_delay_s, self._assign_connection, endpoint, attempt, False
            )
        elif self.connection_count >= self.max_connections and not self.idle_connections.close_longest_idle():
            # The outcome is SUPERSEDED, since a lack of sockets on this machine must not count as a failure
            # of the backend.
            self.fault_log.warning("upstream connections exhausted backend=%s", attempt.backend_id)
            self._finish_attempt(attempt, Outcome.SUPERSEDED)
        else:
            self._start_connecting(endpoint, attempt)

    def _send_attempt(self, connection: BackendConnection, attempt: Attempt) -> None:
        now = self.clock()
        if not attempt.is_wanted():
            self.release_connection(connection)
            self._finish_attempt(attempt, Outcome.SUPERSEDED)
        elif now + TRANSIT_MARGIN_S < attempt.write_deadline:
            connection.send(attempt, now)
        else:
            # The retry would reach the backend after the end of its deduplication window and take effect a
            # second time.  The outcome is SUPERSEDED, since this is not a failure of the backend.
            self.release_connection(connection)
            self._finish_attempt(attempt, Outcome.SUPERSEDED)

    def _on_deadline(self, attempt: Attempt) -> None:
        # An attempt that was not fully written cannot have been executed: either no connection was
        # established in time, or the connection did not accept the complete command in time.
        self._abandon_attempt(
            attempt, Outcome.TIMEOUT if attempt.is_fully_written() else Outcome.CONNECT_FAILED
        )

    def _abandon_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.connection is not None:
            attempt.connection.close()
        self._finish_attempt(attempt, outcome)

    def _finish_attempt(self, attempt: Attempt, outcome: Outcome, reply: BackendReply | None = None) -> None:
        if attempt.has_ended:
            return
        attempt.has_ended = True
        attempt.connection = None
        if attempt.deadline_timer is not None:
            attempt.deadline_timer.cancel()
        if reply is None:
            self.on_attempt_end(attempt, outcome, None, {})
        else:
            self.on_attempt_end(attempt, outcome, reply.value, reply.load_report)

    # Connecting

    def _start_connecting(self, endpoint: UpstreamEndpoint, attempt: Attempt) -> None:
        self.connection_count += 1
        task = self.loop.create_task(self._connect(endpoint, attempt))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    async def _connect(self, endpoint: UpstreamEndpoint, attempt: Attempt) -> None:
        address = endpoint.address
        try:
            connection = await open_connection(
                self.loop,
                address,
                self.connect_timeout_s,
                lambda sock: BackendConnection(self, endpoint, address, sock),
            )
        except BaseException as error:
            self.connection_count -= 1
            if not isinstance(error, OSError):
                raise
            self._on_connect_failed(attempt, error)
        else:
            self._on_connected(connection, endpoint, attempt)

    def _on_connect_failed(self, attempt: Attempt, error: OSError) -> None:
        if is_local_error(error):
            self.fault_log.warning("upstream connect failed backend=%s reason=%s", attempt.backend_id, error)
            self._finish_attempt(attempt, Outcome.SUPERSEDED)
        else:
            self._finish_attempt(attempt, Outcome.CONNECT_FAILED)

    def _on_connected(
        self, connection: BackendConnection, endpoint: UpstreamEndpoint, attempt: Attempt
    ) -> None:
        if not connection.is_open:
            self._finish_attempt(attempt, Outcome.CONNECT_FAILED)
        elif attempt.has_ended:
            self.release_connection(connection)
        elif endpoint.is_draining or not connection.is_current():
            # The backend was removed, began to drain or changed its address while the connection was opened.
            connection.close()
            self._finish_attempt(attempt, Outcome.CONNECT_FAILED)
        else:
            self._send_attempt(connection, attempt)

    # Callbacks from the connections

    def on_reply(self, attempt: Attempt, reply: BackendReply) -> None:
        """End the attempt with the outcome of its reply."""
        self._finish_attempt(attempt, reply.outcome, reply)

    def on_duplicate_reply(self, attempt: Attempt) -> None:
        """Log that a duplicate of an earlier reply was dropped."""
        self.fault_log.warning("upstream duplicate reply dropped backend=%s", attempt.backend_id)

    def on_malformed_reply(self, attempt: Attempt, error: FrameError) -> None:
        """End the attempt as ERROR, since it may have been executed; the malformed reply is not passed on."""
        self.fault_log.warning("upstream reply malformed backend=%s reason=%s", attempt.backend_id, error)
        self._finish_attempt(attempt, Outcome.ERROR)

    def on_connection_broken(self, connection: BackendConnection, attempt: Attempt) -> None:
        """End the attempt as RESET, or as CONNECT_FAILED if it was not fully written and so not executed."""
        self._finish_attempt(
            attempt, Outcome.CONNECT_FAILED if connection.has_unsent_bytes else Outcome.RESET
        )

    def on_idle_connection_broken(self, idle_s: float) -> None:
        """Shorten the time for which idle connections are kept, if the connection had been idle."""
        self.idle_connections.record_broken_connection(idle_s)

    def on_connection_closed(self, connection: BackendConnection) -> None:
        """Remove the connection from the pool."""
        self.connection_count -= 1
        if connection in connection.endpoint.idle_connections:
            connection.endpoint.idle_connections.remove(connection)

    def release_connection(self, connection: BackendConnection) -> None:
        """Make the connection idle, or close it if its backend was removed or has another address now."""
        if not connection.is_current():
            connection.close()
        elif connection.is_open:
            connection.idle_since = self.clock()
            connection.endpoint.idle_connections.append(connection)

    def _sweep(self) -> None:
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.idle_connections.close_expired(self.clock())
