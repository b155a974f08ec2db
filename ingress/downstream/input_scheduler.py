"""Fair sharing of the event loop among the client connections that have input to process."""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from typing import Protocol

TURN_TIME_S = 0.002  # processing in one turn of the event loop; other callbacks wait for as long
SLICE_TIME_S = 0.00025  # processing of one connection before the next one has its slice


class ScheduledConnection(Protocol):
    """A connection whose input is processed in slices."""

    def process_input(self, end_time: float) -> bool:
        """Process input until `end_time`, at least one command; return whether more can be processed.

        `end_time` is on the clock of `time.monotonic`.
        """


class InputScheduler:
    """Processes the input of connections in slices, a few in each turn of the event loop.

    As in flow queuing (RFC 8290), a connection whose input has just arrived has its first slice before those
    that had one, so a client that waits for its replies is not delayed by clients that send without a pause.
    After its first slice it takes its turn with them, also if it has nothing left: otherwise clients that
    send one command after another could delay them for ever.
    """

    __slots__ = ("_backlogged", "_immediate_end_time", "_immediate_turn", "_loop", "_new", "_turn")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a scheduler without connections."""
        self._loop = loop
        # Both are used as queues without duplicates; a connection is in at most one of them.
        self._new: OrderedDict[ScheduledConnection, None] = OrderedDict()
        self._backlogged: OrderedDict[ScheduledConnection, None] = OrderedDict()  # have used up a slice
        self._turn: asyncio.Handle | None = None
        self._immediate_turn = 0.0  # by the loop's clock, when input was last processed at once
        self._immediate_end_time = 0.0  # until when input may be processed at once in that turn

    def is_scheduled(self, connection: ScheduledConnection) -> bool:
        """Return whether the connection waits for a slice."""
        return connection in self._new or connection in self._backlogged

    def process_new_input(self, connection: ScheduledConnection, is_complete: bool) -> None:
        """Process input that the event loop has just read: at once if no connection waits for a slice.

        `is_complete` says that nothing more was there to be read.  What is processed at once in a turn of the
        loop takes no longer than its slices would.
        """
        now = time.monotonic()
        is_waiting = self._new or self._backlogged
        if is_waiting or not is_complete or not self._may_process_at_once(now):
            self.schedule(connection)
        elif connection.process_input(now + SLICE_TIME_S):
            self._new.pop(connection, None)
            self._backlogged[connection] = None
            self._schedule_turn()

    def _may_process_at_once(self, now: float) -> bool:
        turn = self._loop.time()  # stands still during a turn
        if turn != self._immediate_turn:
            self._immediate_turn = turn
            self._immediate_end_time = now + TURN_TIME_S
        return now < self._immediate_end_time

    def schedule(self, connection: ScheduledConnection) -> None:
        """Process the connection's input soon, unless it waits for a slice already."""
        if not self.is_scheduled(connection):
            self._new[connection] = None
            self._schedule_turn()

    def discard(self, connection: ScheduledConnection) -> None:
        """Forget the connection."""
        self._new.pop(connection, None)
        self._backlogged.pop(connection, None)

    def _schedule_turn(self) -> None:
        if self._turn is None:
            self._turn = self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._turn = None
        try:
            self._run_slices()
        finally:
            if self._new or self._backlogged:
                self._schedule_turn()

    def _run_slices(self) -> None:
        now = time.monotonic()  # the loop's own clock stands still during a turn
        end_time = now + TURN_TIME_S
        while now < end_time and (self._new or self._backlogged):
            is_first_slice = bool(self._new)
            queue = self._new or self._backlogged
            connection, _ = queue.popitem(last=False)
            has_more = connection.process_input(now + SLICE_TIME_S)
            is_rescheduled = self.is_scheduled(connection)  # by its own slice
            if has_more or is_first_slice or is_rescheduled:
                self.discard(connection)
                self._backlogged[connection] = None
            now = time.monotonic()
