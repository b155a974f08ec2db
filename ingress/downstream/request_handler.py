"""The interface between a client connection and the handler of its requests."""

from __future__ import annotations

from typing import Protocol

from ingress.downstream.client_presence import ClientPresence
from ingress.downstream.commands import Command


class ReplyWriter(Protocol):
    """The connection on which a reply is sent."""

    presence: ClientPresence
    """Whether the client of the connection is still there."""

    def flush(self) -> None:
        """Write the replies that are ready, in the order of their commands."""

    def check_client_present(self) -> bool:
        """Return whether the client is still connected; if it is not, cancel its requests."""


class PendingReply:
    """A reply that is sent once it is known and all earlier replies of its connection have been sent."""

    __slots__ = ("data", "request_key", "writer")

    def __init__(self, writer: ReplyWriter) -> None:
        self.writer = writer
        self.request_key = ""  # key of the request in flight; empty if the command started none
        self.data: bytes | None = None  # the reply in RESP; None until it is known

    def answer(self, data: bytes) -> None:
        """Set the reply, and send it after all earlier replies of its connection; ignore any later call."""
        if self.data is None:
            self.data = data
            self.writer.flush()


class RequestHandler(Protocol):
    """The handler of the requests of all client connections."""

    def handle_request(self, reply: PendingReply, command: Command, received_at: float) -> None:
        """Handle a request received at `received_at`; raise CommandError if it cannot be accepted."""

    def on_client_disconnected(self, reply: PendingReply) -> None:
        """Cancel the request of an unanswered reply, since its client has disconnected."""
