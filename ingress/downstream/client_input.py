"""The unprocessed input of one client connection, and when it arrived."""

from __future__ import annotations

from collections.abc import Callable

from ingress.downstream import timeouts
from ingress.downstream.arrival_times import ArrivalTimes
from ingress.downstream.command_buffer import CommandBuffer
from ingress.network.buffer_budget import BufferBudget


class ClientInput:
    """The buffer of received bytes, and the times from which their timeouts and deadlines run.

    Commands may wait in the buffer, so each has the arrival time of its own last byte.

    While reading is suspended, the arrival of input is not seen.  It is then taken to have arrived when the
    socket was last known to be empty, so that no request is given more time than its client has left.

    All times are in seconds on the listener's clock.
    """

    __slots__ = (
        "_arrival_times",
        "_last_known_empty_at",
        "arrived_at",
        "buffer",
        "command_arrived_at",
        "has_unexamined_bytes",
        "last_received_at",
        "partial_command_since",
    )

    def __init__(self, budget: BufferBudget, now: float) -> None:
        """Create the input of a connection established at `now`; its bytes count towards `budget`."""
        self.buffer = CommandBuffer(budget)
        self._arrival_times = ArrivalTimes(now)
        self.command_arrived_at = now  # when the last byte of the latest taken command arrived
        self.last_received_at = now  # when the latest input was read
        self.arrived_at = now  # when the latest input arrived, at the earliest
        self.has_unexamined_bytes = False  # input has arrived since the buffer was last processed
        # When the incomplete command in the buffer began to arrive.
        self.partial_command_since: float | None = None
        self._last_known_empty_at: float | None = None  # None unless reading is suspended

    def append(self, data: bytes, now: float) -> None:
        """Append bytes that were read at `now`."""
        self.buffer.append(data)
        self.last_received_at = now
        self.arrived_at = now if self._last_known_empty_at is None else self._last_known_empty_at
        self._arrival_times.add(len(data), self.arrived_at)
        self.has_unexamined_bytes = True
        self._last_known_empty_at = None

    def take_command(self) -> list[bytes] | None:
        """Return the arguments of the next command, or None if the command is incomplete.

        Raise FrameError if the command is malformed.
        """
        taken_before = self.buffer.taken_bytes
        arguments = self.buffer.take_command()
        if arguments is not None:
            self.partial_command_since = None
            self.command_arrived_at = self._arrival_times.take(self.buffer.taken_bytes - taken_before)
        return arguments

    def record_examined(self, has_partial_command: bool) -> None:
        """Record that the buffer was processed, and whether it holds only an incomplete command now."""
        self.has_unexamined_bytes = False
        if not has_partial_command:
            self.partial_command_since = None
        elif self.partial_command_since is None:
            self.partial_command_since = self.arrived_at

    def holds_only_partial_command(self) -> bool:
        """Return whether the buffer holds one incomplete command and nothing else."""
        return self.partial_command_since is not None and not self.has_unexamined_bytes

    # Suspension of reading

    @property
    def is_suspended(self) -> bool:
        """Whether reading is suspended, or was and the input that came meanwhile is still to be read."""
        return self._last_known_empty_at is not None

    def suspend(self, now: float) -> None:
        """Record that reading is suspended from `now` on, unless it already is."""
        if self._last_known_empty_at is None:
            self._last_known_empty_at = now

    def record_empty_socket(self, now: float) -> None:
        """Record that nothing is unread at `now`, while reading is suspended."""
        self._last_known_empty_at = now

    def resume(self, has_unread: bool) -> None:
        """Record that reading is no longer suspended, and whether input lies unread."""
        if not has_unread:
            self._last_known_empty_at = None

    def resume_if_suspended(self, has_unread_input: Callable[[], bool]) -> None:
        """Record that reading is no longer suspended, if it was; only then ask for unread input."""
        if self.is_suspended:
            self.resume(has_unread_input())

    # Timeouts

    def get_wait_start(self) -> float:
        """Return the time from which the input that is to be read next has waited, or the command for it."""
        if self.partial_command_since is not None:
            return self.partial_command_since
        return self.last_received_at if self._last_known_empty_at is None else self._last_known_empty_at

    def is_overdue(self, now: float) -> bool:
        """Return whether the rest of the incomplete command has not come in time."""
        return now - self.get_wait_start() > timeouts.READ_TIMEOUT_S

    def is_grace_over(self, now: float) -> bool:
        """Return whether an overdue command is not even waited for if more of it lies unread."""
        return now - self.get_wait_start() > timeouts.READ_TIMEOUT_S + timeouts.UNREAD_INPUT_GRACE_S
