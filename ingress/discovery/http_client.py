"""The HTTP client of the discovery agent."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import h11

from ingress.discovery.client import DiscoveryClient
from ingress.discovery.errors import (
    DiscoveryTimeoutError,
    DiscoveryUnavailableError,
    NoResponseError,
)
from ingress.discovery.http_connection import HttpConnection
from ingress.network.addresses import Address

ENDPOINT_LIST_PATH = "/api/targets"


class HttpDiscoveryClient:
    """A `DiscoveryClient` over HTTP/1.1 that keeps its connection for the next call."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connection: HttpConnection | None = None

    async def fetch(self, query: str, timeout_s: float, max_body_bytes: int) -> bytes | bytearray:
        """Implement `DiscoveryClient.fetch`; the timeout includes connecting and reading the response."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._fetch_with_resend(query, max_body_bytes)
        except TimeoutError as error:
            raise DiscoveryTimeoutError(f"no response in {timeout_s:g} s") from error

    def close(self) -> None:
        """Close the kept connection, if any."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _fetch_with_resend(self, query: str, max_body_bytes: int) -> bytearray:
        if self._connection is not None and self._connection.has_ended:
            self.close()
        is_reused = self._connection is not None
        try:
            return await self._fetch_once(query, max_body_bytes)
        except NoResponseError:
            # The agent may close a kept connection at any time.  A GET is idempotent, so it is sent again.
            if not is_reused:
                raise
        return await self._fetch_once(query, max_body_bytes)

    async def _fetch_once(self, query: str, max_body_bytes: int) -> bytearray:
        """Make one call on the kept or a new connection, and keep the connection if it can be reused."""
        connection = self._connection
        self._connection = None
        try:
            if connection is None:
                connection = await HttpConnection.open(self._address)
            return await connection.get(ENDPOINT_LIST_PATH + query, max_body_bytes)
        except (OSError, h11.RemoteProtocolError) as error:
            reason = f"{type(error).__name__}: {error}"
            if connection is not None and not connection.response_started:
                raise NoResponseError(reason) from None
            raise DiscoveryUnavailableError(reason) from None
        finally:
            if connection is not None:
                self._keep_or_close_connection(connection)

    def _keep_or_close_connection(self, connection: HttpConnection) -> None:
        if connection.prepare_for_reuse():
            self._connection = connection
        else:
            connection.close()


@asynccontextmanager
async def open_client(address: Address) -> AsyncIterator[DiscoveryClient]:
    """Open a client of the agent at an address; close its connection at the end of the context."""
    client = HttpDiscoveryClient(address)
    try:
        yield client
    finally:
        client.close()
