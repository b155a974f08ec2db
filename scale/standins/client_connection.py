"""A connection of a client to its ingress."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import hiredis

from scale.standins.client_requests import PendingRequest


class ConnectionOwner(Protocol):
    """Receives the events of a client's connections."""

    def on_answer(self, connection: ClientConnection, request: PendingRequest, answer: object) -> None:
        """Handle the answer to the request in flight on a connection."""

    def on_unrequested_answer(self) -> None:
        """Handle an answer that came while no request was in flight."""

    def on_malformed_answer(self) -> None:
        """Handle data that is not RESP2; the caller then aborts the connection."""

    def on_connection_lost(self, connection: ClientConnection) -> None:
        """Handle the end of a connection; a request in flight on it remains unanswered."""


class ClientConnection(asyncio.Protocol):
    """One connection; it carries one request at a time."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.request: PendingRequest | None = None  # the request in flight
        self.is_used = False  # whether an answer was received on the connection
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._reader = hiredis.Reader()

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent on the connection."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_lost(self) -> bool:
        """Whether the connection has ended."""
        return self._transport is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = cast(asyncio.Transport, transport)

    def send(self, request: PendingRequest) -> None:
        """Send a request; the connection is in use until its answer comes."""
        assert self._transport is not None
        self.request = request
        self._transport.write(request.command)

    def data_received(self, data: bytes) -> None:
        """Report complete answers to the owner; abort the connection if the data is not RESP2."""
        self._reader.feed(data)
        try:
            while (answer := self._reader.gets()) is not False:
                self._report_answer(answer)
        except hiredis.ProtocolError:
            self._owner.on_malformed_answer()
            if self._transport is not None:
                self._transport.abort()

    def _report_answer(self, answer: object) -> None:
        request = self.request
        self.request = None
        self.is_used = True
        if request is None:
            self._owner.on_unrequested_answer()
        else:
            self._owner.on_answer(self, request, answer)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to its owner."""
        self._transport = None
        self._owner.on_connection_lost(self)

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()
