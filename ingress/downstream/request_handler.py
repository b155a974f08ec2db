"""The interface between a client connection and the handler of its requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ingress.downstream.commands import Command


class ReplyWriter(Protocol):
    """The connection on which a reply is sent."""

    connection_number: int
    """Tells the connection from all others, also from earlier ones."""

    def flush(self) -> None:
        """Write the replies that are ready, in the order of their commands."""

    def check_client_present(self) -> bool:
        """Return whether the client is still connected; if it is not, cancel its requests."""


class PendingReply:
    """A reply that is sent once it is known and all earlier replies of its connection have been sent."""

    __slots__ = ("data", "on_closed", "request_key", "writer")

    def __init__(self, writer: ReplyWriter) -> None:
        self.writer = writer
        self.request_key = ""  # key of the request in flight; empty if the command started none
        self.data: bytes | None = None  # the reply in RESP; None until it is known
        # Called once the reply was written, or cannot be any more as the client has left.
        self.on_closed: Callable[[], None] | None = None

    def answer(self, data: bytes) -> None:
        """Set the reply, and send it after all earlier replies of its connection; ignore any later call."""
        if self.data is None:
            self.data = data
            self.writer.flush()

    def close(self) -> None:
        """Report that the reply was written, or cannot be any more."""
        if self.on_closed is not None:
            self.on_closed()


class RequestHandler(Protocol):
    """The handler of the requests of all client connections."""

    def handle_request(self, reply: PendingReply, command: Command, received_at: float) -> None:
        """Handle a request received at `received_at`; raise CommandError if it cannot be accepted."""

    def reserve_id(self, client_request_id: bytes, connection_number: int) -> bool:
        """Reserve the id of a request that waits to be executed on the connection; return whether it is free.

        Other connections cannot use the id until it is released, or the request is executed and answered.
        """

    def release_id(self, client_request_id: bytes, connection_number: int) -> None:
        """Release an id that was reserved for the connection, as its request is executed now or never."""

    def on_client_disconnected(self, reply: PendingReply) -> None:
        """Cancel the request of an unanswered reply, since its client has disconnected."""
