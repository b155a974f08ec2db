"""The connections without a pending reply, in the order in which they are evicted for new ones."""

from __future__ import annotations

from collections.abc import Iterator

from ingress.downstream.connection import ClientConnection

MIN_NEW_CONNECTION_AGE_S = 0.1  # age from which a connection that has sent no command may be evicted


class IdleConnections:
    """Three queues of connections without a pending reply, each ordered by idle time, longest first.

    A connection is in at most one queue.  The dicts are used as ordered sets.
    """

    def __init__(self) -> None:
        self.closing: dict[ClientConnection, None] = {}  # last reply written; the client has yet to close
        self.new: dict[ClientConnection, None] = {}  # no command received yet
        self.answered: dict[ClientConnection, None] = {}  # all commands answered

    def add_new(self, connection: ClientConnection) -> None:
        """Add a connection that has just been established."""
        self.new[connection] = None

    def add_idle(self, connection: ClientConnection) -> None:
        """Add a connection whose last pending reply has been written."""
        (self.closing if connection.is_closing else self.answered)[connection] = None

    def discard(self, connection: ClientConnection) -> None:
        """Remove the connection if it is in a queue."""
        self.closing.pop(connection, None)
        self.new.pop(connection, None)
        self.answered.pop(connection, None)

    def find_eviction_candidate(self, now: float) -> ClientConnection | None:
        """Return the connection whose client loses least by an eviction, or None if none may be evicted."""
        return next(self._iter_eviction_candidates(now), None)

    def _iter_eviction_candidates(self, now: float) -> Iterator[ClientConnection]:
        """Yield the connections that may be evicted, in the order of their eviction.

        A closing connection may always be evicted.  Any other connection must stay while its first command
        may still be in transit, while it has unprocessed input, and while a reply is unsent.
        """
        yield from self.closing
        for queue, min_age in ((self.new, MIN_NEW_CONNECTION_AGE_S), (self.answered, 0.0)):
            for connection in queue:
                if now - connection.idle_since < min_age:
                    break  # the later connections of the queue have been idle for an even shorter time
                if connection.has_empty_buffers():
                    yield connection
