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

REQUEST_VERBS = (b"API.READ", b"API.WRITE")
INTERNAL_ERROR_REPLY = b"-ERR internal error\r\n"


class ExecutorOwner(Protocol):
    """The interface through which a command executor uses the listener of its connection."""

    command_parser: CommandParser
    handler: RequestHandler

    def log_malformed_command(self, reason: str) -> None:
        """Log a malformed command; once many have been logged, only a sample of them is."""


class CommandExecutor:
    """Executes commands, each of which gets a reply of its own whatever became of those before it.

    A connection carries requests of many customers, so malformed commands of one of them must not end the
    input of the others.
    """

    __slots__ = ("_owner",)

    def __init__(self, owner: ExecutorOwner) -> None:
        """Create an executor for the connections of the owner."""
        self._owner = owner

    def execute(self, reply: PendingReply, arguments: list[bytes], received_at: float) -> None:
        """Execute a command, and answer `reply` now or later.

        `received_at` is the time on the listener's clock at which the command arrived.
        """
        try:
            verb = arguments[0].upper() if arguments else b""
            if verb in REQUEST_VERBS:
                command = self._owner.command_parser.parse(verb, arguments)
                self._owner.handler.handle_request(reply, command, received_at)
            else:
                reply.answer(create_connection_reply(verb, arguments))
        except CommandError as error:
            self._owner.log_malformed_command(str(error))
            reply.answer(encode_error_reply(str(error)))
        except Exception:
            # An exception in one request must end neither the process nor other requests of the connection.
            log.exception("request failed")
            reply.answer(INTERNAL_ERROR_REPLY)
