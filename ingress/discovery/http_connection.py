"""One HTTP/1.1 connection (RFC 9112) to the discovery agent."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Self, cast

import h11

from ingress.discovery.errors import (
    DiscoveryRejectedError,
    DiscoveryUnavailableError,
    InvalidEndpointListError,
    NoResponseError,
)
from ingress.network.addresses import Address

READ_SIZE_BYTES = 256 * 1024
HTTP_OK = 200


class HttpConnection:
    """A connection to the agent, which carries one call at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str) -> None:
        self._reader = reader
        self._writer = writer
        self._host = host
        self._protocol = h11.Connection(h11.CLIENT)
        self._response_started = False

    @classmethod
    async def open(cls, address: Address) -> Self:
        """Connect to the agent; raise OSError if the connection can't be established."""
        reader, writer = await asyncio.open_connection(*address, limit=READ_SIZE_BYTES)
        return cls(reader, writer, f"{address[0]}:{address[1]}")

    def close(self) -> None:
        """Abort the connection; data that was not sent or not read yet is lost."""
        self._writer.transport.abort()

    async def get(self, target: str, max_body_bytes: int) -> bytearray:
        """Send a GET of `target` and return the body of the response.

        Raise DiscoveryRejectedError for any status but 200, InvalidEndpointListError for a body of more than
        `max_body_bytes` bytes, NoResponseError or DiscoveryUnavailableError if the connection ends before or
        within the response, and OSError or h11.RemoteProtocolError for any other failure.
        """
        self._response_started = False
        self._send_request(target)
        response = await self._read_response_head()
        if response.status_code != HTTP_OK:
            self._discard_received_body()
            raise DiscoveryRejectedError(f"status {response.status_code}")
        if _get_content_length(response) > max_body_bytes:
            raise _make_too_long_error(max_body_bytes)
        return await self._read_body(max_body_bytes)

    def prepare_for_reuse(self) -> bool:
        """Prepare the connection for another call; return whether it can be reused.

        It can't be reused if the response was not read to its end, if data after the response has arrived, or
        if either side asked to close the connection.
        """
        is_cycle_complete = self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE
        if not is_cycle_complete or self._protocol.trailing_data[0]:
            return False
        self._protocol.start_next_cycle()
        return True

    @property
    def has_ended(self) -> bool:
        """Whether either side is known to have ended the connection."""
        return self._writer.is_closing() or self._reader.at_eof()

    @property
    def response_started(self) -> bool:
        """Whether any byte of the response to the last call has arrived."""
        return self._response_started

    def _send_request(self, target: str) -> None:
        headers = [("Host", self._host), ("Accept", "application/json")]
        head = self._protocol.send(h11.Request(method="GET", target=target, headers=headers))
        self._protocol.send(h11.EndOfMessage())
        self._writer.write(head or b"")

    async def _read_response_head(self) -> h11.Response:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise DiscoveryUnavailableError("the connection ended before the final response")

    async def _read_body(self, max_body_bytes: int) -> bytearray:
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
            # A response without a Content-Length may never end, so the limit is checked here as well.
            if len(body) > max_body_bytes:
                raise _make_too_long_error(max_body_bytes)
        return body

    def _discard_received_body(self) -> None:
        """Discard the part of the body that has arrived; if it is complete, the connection can be reused."""
        with suppress(h11.RemoteProtocolError):
            while isinstance(self._protocol.next_event(), h11.Data):
                pass

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next part of the response.

        Raise OSError on a reset, so that only an orderly close ends a body without a Content-Length.
        """
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return cast(h11.Event | type[h11.PAUSED], event)
            data = await self._reader.read(READ_SIZE_BYTES)
            if not data and not self._response_started:
                raise NoResponseError("the connection ended before the response")
            self._response_started = True
            self._protocol.receive_data(data)


def _get_content_length(response: h11.Response) -> int:
    """Return the Content-Length in bytes, or 0 if there is none."""
    return next((int(value) for name, value in response.headers if name == b"content-length"), 0)


def _make_too_long_error(max_body_bytes: int) -> InvalidEndpointListError:
    return InvalidEndpointListError(
        f"the list is too long: more than the {max_body_bytes} bytes that limits.memory_mb allows"
    )
