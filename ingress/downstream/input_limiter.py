"""Limit on the memory that the unprocessed input of all client connections uses together."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection, Iterator
from typing import Protocol

from ingress.network.buffer_budget import BufferBudget
from ingress.network.rate_limited_log import RateLimitedLog

log = logging.getLogger(__name__)

MAX_LOGGED_SUSPENSIONS = 50  # suspensions that are logged one by one; of the later ones only a sample is
CHECK_INTERVAL_S = 0.01  # between checks of the limit while reading is suspended


class LimitedConnection(Protocol):
    """The part of a client connection that the limiter uses."""

    last_received_at: float
    partial_command_since: float | None

    def holds_only_partial_command(self) -> bool:
        """Return whether the buffered input is one incomplete command and nothing else."""

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that was not read yet."""

    def reject_partial_command(self) -> None:
        """Answer the incomplete command with an error, drop it, and close the connection."""

    def update_reading(self) -> None:
        """Pause or resume reading."""


class InputLimiter:
    """Keeps the input of all connections within its budget without dropping a complete command.

    Above the limit, incomplete commands whose clients have stopped sending are rejected, those first whose
    clients have been silent for the longest time.  If the rest still exceeds the limit, reading is suspended
    on all connections: complete commands are then taken as replies make room for them, and the incomplete
    commands whose rest has already arrived are read to their ends one after the other.
    """

    def __init__(
        self,
        budget: BufferBudget,
        connections: Collection[LimitedConnection],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a limiter for `connections`, a collection that its owner keeps up to date."""
        self.budget = budget
        self.is_suspended = False
        self._connections = connections
        self._loop = loop
        self._reader: LimitedConnection | None = None  # the only connection that is read while suspended
        self._check_timer: asyncio.TimerHandle | None = None
        self._suspension_log = RateLimitedLog(log, MAX_LOGGED_SUSPENSIONS)

    def may_read(self, connection: LimitedConnection) -> bool:
        """Return whether the limit allows to read from the connection."""
        return not self.is_suspended or connection is self._reader

    def must_act(self) -> bool:
        """Return whether `enforce` has to be called now that input has arrived."""
        return self.is_suspended or self.budget.is_exceeded()

    def enforce(self) -> None:
        """Bring the buffered input within the limit, or suspend reading until it is."""
        was_suspended = self.is_suspended
        self._reject_stalled_commands()
        self.is_suspended = self.budget.is_exceeded()
        self._reader = self._find_reader() if self.is_suspended else None
        if self.is_suspended and not was_suspended:
            self._suspension_log.warning("client input suspended buffered_bytes=%d", self.budget.used_bytes)
        if self.is_suspended or was_suspended:
            for connection in list(self._connections):
                connection.update_reading()
        if self.is_suspended and self._check_timer is None:
            self._check_timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def close(self) -> None:
        """Stop the checks."""
        if self._check_timer is not None:
            self._check_timer.cancel()

    def _check(self) -> None:
        self._check_timer = None
        self.enforce()

    def _reject_stalled_commands(self) -> None:
        """Reject incomplete commands whose clients have stopped sending, until the limit is kept."""
        if not self.budget.is_exceeded():
            return
        for connection in sorted(self._iter_partial(), key=lambda connection: connection.last_received_at):
            if not connection.has_unread_input():
                connection.reject_partial_command()
                if not self.budget.is_exceeded():
                    return

    def _find_reader(self) -> LimitedConnection | None:
        """Return the connection whose incomplete command is the oldest of those with unread input."""
        candidates = [connection for connection in self._iter_partial() if connection.has_unread_input()]
        return min(candidates, key=_get_start_of_partial_command, default=None)

    def _iter_partial(self) -> Iterator[LimitedConnection]:
        return (connection for connection in self._connections if connection.holds_only_partial_command())


def _get_start_of_partial_command(connection: LimitedConnection) -> float:
    return connection.partial_command_since or 0.0
