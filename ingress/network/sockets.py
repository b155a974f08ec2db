"""Checks of a socket's current state, which the event loop may not have reported yet."""

from __future__ import annotations

import select
import socket

PEEK_FLAGS = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether there are unread bytes; the end or a failure of the connection does not count."""
    try:
        return bool(sock.recv(1, PEEK_FLAGS))
    except OSError:
        return False


def is_open_without_unread_bytes(sock: socket.socket) -> bool:
    """Return whether the connection is open and there are no unread bytes."""
    try:
        sock.recv(1, PEEK_FLAGS)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has closed its side or the connection, even if there are unread bytes."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)  # errors and resets are always reported
    return any(events & CLOSED_EVENTS for _, events in poll.poll(0))


def has_peer_left(sock: socket.socket) -> bool:
    """Return whether the peer has closed its side or the connection, or the socket is closed here.

    Most often nothing is unread, and one system call tells.
    """
    try:
        unread = sock.recv(1, PEEK_FLAGS)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return not unread or is_closed_by_peer(sock)
