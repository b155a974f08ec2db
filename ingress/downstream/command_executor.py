"""Execution of the commands of one client connection."""

from __future__ import annotations

import logging
from typing import Protocol

from ingress.downstream.commands import (
    CommandError,
    CommandParser,
    create_connection_reply,
    encode_error_reply,
)
from ingress.downstream.request_handler import PendingReply, RequestHandler

log = logging.getLogger(__name__)

# Malformed commands without a valid request in between after which a connection takes no further input.
MAX_MALFORMED_COMMANDS = 8
REQUEST_VERBS = (b"API.READ", b"API.WRITE")
INTERNAL_ERROR_REPLY = b"-ERR internal error\r\n"


class ExecutorOwner(Protocol):
    """The interface through which a command executor uses the listener of its connection."""

    command_parser: CommandParser
    handler: RequestHandler

    def log_malformed_command(self, reason: str) -> None:
        """Log a malformed command; once many have been logged, only a sample of them is."""


class CommandExecutor:
    """Executes commands and counts malformed ones; a valid request resets the count."""

    __slots__ = ("_malformed_count", "_owner")

    def __init__(self, owner: ExecutorOwner) -> None:
        """Create an executor that has seen no malformed command."""
        self._owner = owner
        self._malformed_count = 0

    def is_malformed_limit_reached(self) -> bool:
        """Return whether the connection must be closed, so that its client takes no time from the others."""
        return self._malformed_count >= MAX_MALFORMED_COMMANDS

    def is_valid_request(self, arguments: list[bytes]) -> bool:
        """Return whether the arguments are those of a valid request; execute and count nothing."""
        verb = arguments[0].upper() if arguments else b""
        if verb not in REQUEST_VERBS:
            return False
        try:
            self._owner.command_parser.parse(verb, arguments)
        except CommandError:
            return False
        return True

    def execute(self, reply: PendingReply, arguments: list[bytes], received_at: float) -> bytes | None:
        """Execute a command, and answer `reply` now or later; return an error reply if the command fails.

        A returned error reply has not been sent: the caller first decides whether to close the connection,
        and then answers `reply` with it.  `received_at` is the time on the listener's clock at which the
        command arrived.
        """
        try:
            verb = arguments[0].upper() if arguments else b""
            if verb in REQUEST_VERBS:
                command = self._owner.command_parser.parse(verb, arguments)
                self._malformed_count = 0
                self._owner.handler.handle_request(reply, command, received_at)
            else:
                reply.answer(create_connection_reply(verb, arguments))
        except CommandError as error:
            self._malformed_count += 1
            self._owner.log_malformed_command(str(error))
            return encode_error_reply(str(error))
        except Exception:
            # An exception in one request must end neither the process nor other requests of the connection.
            log.exception("request failed")
            return INTERNAL_ERROR_REPLY
        return None
