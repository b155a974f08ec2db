"""One attempt of a request at one backend, from the decision module's `SendAttempt` to its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

# The client's command in RESP2: the bytes before the length of the field list, the field list, and the bytes
# after it.
CommandParts = tuple[bytes, bytes, bytes]


class AttemptConnection(Protocol):
    """The part of a connection that an attempt uses once its command was written."""

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether part of the command has not been handed to the operating system yet."""

    def close(self) -> None:
        """Close the connection immediately."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one backend.  Its times are in seconds on the pool's clock."""

    request_key: str  # key of the request that the attempt belongs to
    number: int  # index of the attempt among the attempts of its request, from 0
    backend_id: str  # id of the backend that the attempt goes to
    sent_at: float  # time at which the decision module sent the attempt
    deadline: float  # time at which the attempt times out
    command_parts: CommandParts
    write_deadline: float = inf  # time after which the command must not be written
    check_client_present: Callable[[], bool] | None = None  # cancels the request if its client has left
    connection: AttemptConnection | None = None  # connection that the command was written to
    deadline_timer: asyncio.TimerHandle | None = field(default=None, repr=False)  # fires at `deadline`
    has_ended: bool = False  # whether the outcome was reported

    def is_fully_written(self) -> bool:
        """Return whether the operating system has the complete command, so that it may have been executed."""
        return self.connection is not None and not self.connection.has_unsent_bytes

    def is_wanted(self) -> bool:
        """Return whether the command may be written: the attempt goes on, and its client is connected."""
        return not self.has_ended and (self.check_client_present is None or self.check_client_present())

    def encode_command(self, now: float) -> bytes:
        """Return the client's command with its field `d` set to the milliseconds left until the deadline.

        The field is at least 1, also after the deadline.
        """
        before, field_list, after = self.command_parts
        time_left_field = b"d=%d" % max(1, int((self.deadline - now) * 1000))
        rewritten = b",".join(
            time_left_field if wire_field.startswith(b"d=") else wire_field
            for wire_field in field_list.split(b",")
        )
        return b"%b$%d\r\n%b%b" % (before, len(rewritten), rewritten, after)
