"""Enforcement of the timeouts of one client connection."""

from __future__ import annotations

from collections.abc import Sized
from typing import Protocol

from ingress.downstream import timeouts
from ingress.downstream.client_input import ClientInput
from ingress.downstream.close_reason import CloseReason


class TimedConnection(Protocol):
    """The part of a client connection to which the timeouts apply; times are on the listener's clock."""

    input: ClientInput
    is_closing: bool
    idle_since: float
    write_blocked_since: float | None

    @property
    def pending_replies(self) -> Sized:
        """The replies that are not written yet."""

    @property
    def idle_timeout_s(self) -> float:
        """How long the connection may stay without a command."""

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that was not read yet."""

    def holds_only_partial_command(self) -> bool:
        """Return whether the buffered input is one incomplete command and nothing else."""

    def reject_partial_command(self, text: str, close_reason: CloseReason) -> None:
        """Answer the incomplete command with an error, drop it, and close the connection."""

    def close_if_idle(self) -> None:
        """Close the connection unless a command or reply is pending."""

    def abort(self, close_reason: CloseReason | None) -> None:
        """Close the connection at once; None leaves the reason that was set before."""


def enforce_timeouts(connection: TimedConnection, now: float) -> None:
    """Close the connection if its client has been too slow or idle for too long at the time `now`.

    Each timeout runs from the start of the wait, so a client cannot extend it by sending single bytes.
    """
    if connection.input.is_suspended and not connection.has_unread_input():
        connection.input.record_empty_socket(now)
    if connection.is_closing and not connection.pending_replies:
        if now - connection.idle_since > timeouts.LINGER_TIMEOUT_S:
            connection.abort(None)
    elif connection.write_blocked_since is not None:
        if now - connection.write_blocked_since > timeouts.READ_TIMEOUT_S:
            connection.abort(CloseReason.READ_TIMEOUT)
    elif connection.holds_only_partial_command():
        if _is_partial_command_overdue(connection, now):
            connection.reject_partial_command(
                "the rest of the command did not come", CloseReason.PARTIAL_COMMAND_TIMEOUT
            )
    elif not connection.pending_replies and now - connection.idle_since > connection.idle_timeout_s:
        connection.close_if_idle()


def _is_partial_command_overdue(connection: TimedConnection, now: float) -> bool:
    """Return whether the rest of the command is overdue; if more of it lies unread, after a grace time."""
    return connection.input.is_overdue(now) and (
        connection.input.is_grace_over(now) or not connection.has_unread_input()
    )
