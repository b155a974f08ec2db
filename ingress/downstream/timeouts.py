"""Timeouts of client connections."""

from __future__ import annotations

READ_TIMEOUT_S = 2.0  # for the first command, the rest of a partial command, and the client to read replies
UNREAD_INPUT_GRACE_S = 0.5  # further time for a partial command if unread input lies in the socket
IDLE_TIMEOUT_S = 5.0  # for the next command, once all commands have been answered
LINGER_TIMEOUT_S = 1.0  # for the client to read the last error reply while its input is discarded
DRAIN_FIRST_REQUEST_TIMEOUT_S = 0.2  # for the first command on a connection while the listener drains


def compute_idle_timeout_s(is_new: bool, is_draining: bool) -> float:
    """Return the idle timeout of a connection; a new connection has not sent a command."""
    if is_draining:
        # The first command of a connection that has just been accepted may still be in transit.
        return DRAIN_FIRST_REQUEST_TIMEOUT_S if is_new else 0.0
    return READ_TIMEOUT_S if is_new else IDLE_TIMEOUT_S
