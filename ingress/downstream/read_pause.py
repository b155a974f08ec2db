"""Pausing of reading on one client connection, whose disconnect is still detected meanwhile."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ingress.network.sockets import is_closed_by_peer

DISCONNECT_CHECK_INTERVAL_S = 0.05  # between checks for a disconnect while reading is paused


class ReadPause:
    """Pauses and resumes reading from one connection.

    The event loop reports no disconnect while reading is paused, so the socket is checked at intervals.
    """

    __slots__ = ("_check_timer", "_loop", "_sock", "_update_reading")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, update_reading: Callable[[], None]
    ) -> None:
        """Create a switch that is off; `update_reading` is called after each check to decide again."""
        self._loop = loop
        self._sock = sock
        self._update_reading = update_reading
        self._check_timer: asyncio.TimerHandle | None = None  # set while reading is paused

    @property
    def is_checking(self) -> bool:
        """Whether reading is paused and the socket is checked for a disconnect."""
        return self._check_timer is not None

    def pause(self, transport: asyncio.Transport) -> None:
        """Pause reading, and start to check for a disconnect."""
        transport.pause_reading()
        if self._check_timer is None:
            self._check_timer = self._loop.call_later(
                DISCONNECT_CHECK_INTERVAL_S, self._check_for_disconnect, transport
            )

    def _check_for_disconnect(self, transport: asyncio.Transport) -> None:
        self._check_timer = None
        if not transport.is_closing() and is_closed_by_peer(self._sock):
            transport.abort()
        else:
            self._update_reading()
