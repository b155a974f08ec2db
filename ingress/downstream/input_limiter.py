"""Limit on the memory that the unprocessed input of all client connections uses together."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from ingress.downstream.client_input import ClientInput
from ingress.downstream.close_reason import CloseReason
from ingress.downstream.command_buffer import MAX_COMMAND_BYTES
from ingress.network.buffer_budget import BufferBudget
from ingress.network.clock import Clock
from ingress.network.rate_limited_log import RateLimitedLog

log = logging.getLogger(__name__)

MAX_LOGGED_SUSPENSIONS = 50  # suspensions that are logged one by one; of the later ones only a sample is
CHECK_INTERVAL_S = 0.01  # between checks of the limit while reading is suspended
STALLED_AFTER_S = 0.05  # silence after which the sender of an incomplete command counts as stalled


class LimitedConnection(Protocol):
    """The part of a client connection that the limiter uses."""

    input: ClientInput

    def holds_only_partial_command(self) -> bool:
        """Return whether the buffered input is one incomplete command and nothing else."""

    def takes_input(self) -> bool:
        """Return whether input that is read now is processed at once."""

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that was not read yet."""

    def reject_partial_command(self, text: str, close_reason: CloseReason) -> None:
        """Answer the incomplete command with an error, drop it, and close the connection."""

    def update_reading(self) -> None:
        """Pause or resume reading."""


class InputLimiter:
    """Keeps the input of all connections within its budget without dropping a complete command.

    Above the limit, incomplete commands whose clients have stopped sending are rejected, those first whose
    clients have been silent for the longest time.  While the rest exceeds the limit, reading is suspended:
    replies make room for the complete commands, and one connection at a time is read, the one whose input has
    waited for the longest time, so that the incomplete commands whose rest has already arrived come to their
    ends.  Connections without any unprocessed input are still read, a little at a time, so that usual clients
    do not wait for those that fill the memory; only one command above the limit they wait too.
    """

    def __init__(
        self,
        budget: BufferBudget,
        connections: Collection[LimitedConnection],
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        on_resumed: Callable[[], None],
    ) -> None:
        """Create a limiter for `connections`, a collection that its owner keeps up to date.

        `clock` is the clock of their times; `on_resumed` is called when connections may be accepted again.
        """
        self.budget = budget
        self.is_suspended = False
        self._connections = connections
        self._loop = loop
        self._clock = clock
        self._on_resumed = on_resumed
        self._reader: LimitedConnection | None = None  # read without restriction while suspended
        self._was_overfull = False
        self._check_timer: asyncio.TimerHandle | None = None
        self._suspension_log = RateLimitedLog(log, MAX_LOGGED_SUSPENSIONS)

    @property
    def is_overfull(self) -> bool:
        """Whether the limit is exceeded by more than one command, so that no connection may be accepted."""
        return self.is_suspended and self.budget.used_bytes > self.budget.max_bytes + MAX_COMMAND_BYTES

    def may_read(self, connection: LimitedConnection) -> bool:
        """Return whether the limit allows to read from the connection."""
        if not self.is_suspended or connection is self._reader:
            return True
        return not self.is_overfull and not connection.input.buffer

    def must_read_little(self, connection: LimitedConnection) -> bool:
        """Return whether only a little may be read from the connection at once.

        Far above the limit this holds for the only connection that is read, too: what is read behind the end
        of its command would remain.
        """
        return self.is_suspended and (connection is not self._reader or self.is_overfull)

    def on_input(self, connection: LimitedConnection) -> None:
        """Keep the limit after input of the connection has been buffered."""
        if self.is_suspended and connection is not self._reader and self.is_overfull == self._was_overfull:
            connection.update_reading()
        elif self.is_suspended or self.budget.is_exceeded():
            self.enforce()

    def enforce(self) -> None:
        """Bring the buffered input within the limit, or suspend reading until it is."""
        was_suspended, was_overfull, previous_reader = self.is_suspended, self._was_overfull, self._reader
        self._reject_stalled_commands()
        self.is_suspended = self.budget.is_exceeded()
        self._reader = self._find_reader() if self.is_suspended else None
        self._was_overfull = self.is_overfull
        if self.is_suspended and not was_suspended:
            self._suspension_log.warning("client input suspended buffered_bytes=%d", self.budget.used_bytes)
        if self.is_suspended != was_suspended or self._was_overfull != was_overfull:
            self._update_reading(self._connections)
        else:
            self._update_reading(reader for reader in (previous_reader, self._reader) if reader is not None)
        if was_overfull and not self._was_overfull:
            self._on_resumed()
        if self.is_suspended and self._check_timer is None:
            self._check_timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _update_reading(self, connections: Iterable[LimitedConnection]) -> None:
        for connection in list(connections):
            connection.update_reading()

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
        last_received_before = self._clock() - STALLED_AFTER_S
        for connection in sorted(self._find_partial(), key=_get_last_received_at):
            if connection.input.last_received_at > last_received_before:
                return
            if not connection.has_unread_input():
                connection.reject_partial_command("too much is on the way", CloseReason.INPUT_LIMIT)
                if not self.budget.is_exceeded():
                    return

    def _find_reader(self) -> LimitedConnection | None:
        """Return the connection whose unread input has waited for the longest time.

        Return None while the limit is exceeded by more than one command and complete commands are waiting.
        They are taken first, since what is read may hold further ones.
        """
        partial_bytes = sum(len(connection.input.buffer) for connection in self._find_partial())
        has_complete_commands = self.budget.used_bytes > partial_bytes
        if has_complete_commands and self.is_overfull:
            return None
        candidates = [connection for connection in self._connections if connection.takes_input()]
        candidates.sort(key=_get_wait_start)
        return next((connection for connection in candidates if connection.has_unread_input()), None)

    def _find_partial(self) -> list[LimitedConnection]:
        return [connection for connection in self._connections if connection.holds_only_partial_command()]


def _get_last_received_at(connection: LimitedConnection) -> float:
    return connection.input.last_received_at


def _get_wait_start(connection: LimitedConnection) -> float:
    return connection.input.get_wait_start()
