"""The interface through which a client connection uses the listener that accepted it."""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

from ingress.downstream.commands import CommandParser
from ingress.downstream.input_limiter import InputLimiter
from ingress.downstream.input_scheduler import InputScheduler
from ingress.downstream.read_buffer import ReadBuffer
from ingress.downstream.request_handler import RequestHandler
from ingress.network.clock import Clock

Connection = TypeVar("Connection", contravariant=True)


class ConnectionOwner(Protocol[Connection]):
    """The owner of connections, which tracks their state and the memory that their input takes."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    command_parser: CommandParser
    handler: RequestHandler
    input_limiter: InputLimiter
    read_buffer: ReadBuffer
    input_scheduler: InputScheduler
    is_draining: bool

    def mark_new(self, connection: Connection) -> None:
        """Register an established connection that has not sent a command."""

    def is_new(self, connection: Connection) -> bool:
        """Return whether the connection has not sent a command."""

    def mark_busy(self, connection: Connection) -> None:
        """Record that the connection has an unanswered command or is closed."""

    def mark_idle(self, connection: Connection) -> None:
        """Record that all commands of the connection have been answered."""

    def on_connection_closed(self, connection: Connection) -> None:
        """Forget a connection whose file descriptor has been released."""

    def log_malformed_command(self, reason: str) -> None:
        """Log a malformed command; once many have been logged, only a sample of them is."""
