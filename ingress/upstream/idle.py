"""Idle connections to backends: when they may be reused, and when they are closed."""

from __future__ import annotations

from ingress.network.sockets import is_open_without_unread_bytes
from ingress.upstream.connection import BackendConnection
from ingress.upstream.endpoint import EndpointTable, UpstreamEndpoint

# Share of a backend's idle timeout after which the pool closes a connection, before the backend does.
IDLE_TIMEOUT_SHARE = 0.6
MIN_IDLE_TIMEOUT_S = 0.1  # lower bound of the shortened timeout; most connections are reused sooner
# Time between a reply and the next attempt, in which most duplicates of the reply arrive.  `ReplyMatcher`
# recognizes those that come later.
REUSE_DELAY_S = 0.010


class IdleConnections:
    """The idle connections to all endpoints of a pool, which are reused or closed after a timeout."""

    def __init__(self, endpoint_table: EndpointTable, backend_idle_timeout_s: float) -> None:
        """Keep idle connections for IDLE_TIMEOUT_SHARE of the backends' own idle timeout."""
        self.endpoint_table = endpoint_table
        self.idle_timeout_s = backend_idle_timeout_s * IDLE_TIMEOUT_SHARE
        self.reuse_delay_s = REUSE_DELAY_S

    def take_connection(self, endpoint: UpstreamEndpoint, now: float) -> BackendConnection | None:
        """Remove the most recently used connection that may be reused, and return it; None if there is none.

        Bytes that a backend sends after its reply, such as a duplicate of it, may arrive in a later read.  A
        connection is therefore reused only after the reuse delay, and closed if it has unread bytes.  What
        arrives after the next command was written is left to `ReplyMatcher`.
        """
        for connection in reversed(endpoint.idle_connections[:]):
            if connection.idle_since > now - self.reuse_delay_s:
                continue
            if connection.idle_since >= now - self.idle_timeout_s and is_open_without_unread_bytes(
                connection.sock
            ):
                endpoint.idle_connections.remove(connection)
                return connection
            connection.close()
        return None

    def record_broken_connection(self, idle_s: float) -> None:
        """Shorten the idle timeout after a connection broke under the first attempt since it was idle.

        `idle_s` is the time for which it had been idle before that attempt; a time below MIN_IDLE_TIMEOUT_S
        has no effect.

        Some backends drop idle connections before their idle timeout.  The pool learns of this only when it
        writes the next command.
        """
        if idle_s >= MIN_IDLE_TIMEOUT_S:
            self.idle_timeout_s = min(
                self.idle_timeout_s, max(MIN_IDLE_TIMEOUT_S, idle_s * IDLE_TIMEOUT_SHARE)
            )

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle for the longest time; return whether there was one."""
        longest_idle = min(
            (
                endpoint.idle_connections[0]
                for endpoint in self.endpoint_table.contacted_endpoints.values()
                if endpoint.idle_connections
            ),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if longest_idle is None:
            return False
        longest_idle.close()
        return True

    def close_expired(self, now: float) -> None:
        """Close the connections whose idle timeout is over, before their backends close them."""
        min_idle_since = now - self.idle_timeout_s
        for endpoint in self.endpoint_table.contacted_endpoints.values():
            while endpoint.idle_connections and endpoint.idle_connections[0].idle_since < min_idle_since:
                endpoint.idle_connections[0].close()

    def close_all(self) -> None:
        """Close all idle connections."""
        for endpoint in self.endpoint_table.contacted_endpoints.values():
            endpoint.close_idle_connections()
