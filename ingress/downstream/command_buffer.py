"""The input buffer of a client connection, which splits the received bytes into commands."""

from __future__ import annotations

from typing import cast

from ingress.network.array_parser import SHARED_PARSER
from ingress.network.buffer_budget import BufferBudget
from ingress.network.frames import FrameError, find_array_end

MAX_ARGUMENT_BYTES = 64 * 1024
MAX_COMMAND_BYTES = 256 * 1024
MAX_ARGUMENTS = 8  # per command, including its verb; requests have at most 5


class CommandBuffer:
    """The received bytes of one connection that have not been processed yet.

    Each call of `take_command` returns the next command, but leaves the bytes of that command in the buffer.
    `drop_taken_bytes` later removes the bytes of all returned commands in one operation.
    """

    __slots__ = ("_budget", "_data", "_peeked_bytes", "_taken_bytes")

    def __init__(self, budget: BufferBudget) -> None:
        """Create an empty buffer whose bytes count towards `budget`."""
        self._budget = budget
        self._data = bytearray()
        self._taken_bytes = 0  # number of bytes at the start of `_data` whose commands have been taken
        self._peeked_bytes = 0  # the same for commands that have been peeked at; may be less than those taken

    def __len__(self) -> int:
        return len(self._data)

    @property
    def taken_bytes(self) -> int:
        """Number of bytes at the start of the buffer whose commands have been taken."""
        return self._taken_bytes

    def append(self, data: bytes) -> None:
        """Append received bytes."""
        self._budget.used_bytes += len(data)
        self._data += data

    def has_untaken_bytes(self) -> bool:
        """Return whether the buffer holds bytes after the commands that have been taken."""
        return self._taken_bytes < len(self._data)

    def take_command(self) -> list[bytes] | None:
        """Return the arguments of the next command, or None if the command is incomplete.

        Raise FrameError if the command is malformed.  The bytes after a malformed command cannot be
        interpreted either.
        """
        end = self._find_command_end(self._taken_bytes)
        if end < 0:
            return None
        arguments = self._parse_command(self._taken_bytes, end)
        self._taken_bytes = end
        return arguments

    def peek_command(self) -> list[bytes] | None:
        """Return the arguments of the next command that was neither taken nor peeked at, and do not take it.

        Return None if there is no complete command, or if the bytes that follow cannot be interpreted.
        """
        start = max(self._taken_bytes, self._peeked_bytes)
        try:
            end = self._find_command_end(start)
            arguments = self._parse_command(start, end) if end >= 0 else None
        except FrameError:
            return None
        if arguments is not None:
            self._peeked_bytes = end
        return arguments

    def drop_taken_bytes(self) -> None:
        """Remove the bytes of the taken commands; a bytearray does this without copying the rest."""
        self._drop(self._taken_bytes)

    def clear(self) -> None:
        """Remove all bytes."""
        self._drop(len(self._data))

    def _find_command_end(self, start: int) -> int:
        return find_array_end(self._data, start, MAX_ARGUMENTS, MAX_ARGUMENT_BYTES, MAX_COMMAND_BYTES)

    def _parse_command(self, start: int, end: int) -> list[bytes]:
        return cast(list[bytes], SHARED_PARSER.parse(bytes(self._data[start:end])))

    def _drop(self, size: int) -> None:
        del self._data[:size]
        self._taken_bytes = 0
        self._peeked_bytes = max(0, self._peeked_bytes - size)
        self._budget.used_bytes -= size
