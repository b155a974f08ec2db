"""The interface of a discovery agent's client, as the watch uses it."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from ingress.network.addresses import Address


class DiscoveryClient(Protocol):
    """A client that fetches endpoint lists from a discovery agent."""

    async def fetch(self, query: str, timeout_s: float, max_body_bytes: int) -> bytes | bytearray:
        """Make one call and return the body of the response.

        `query` is empty or begins with "?".  Raise DiscoveryUnavailableError if there is no usable response,
        and InvalidEndpointListError if its body is longer than `max_body_bytes`.
        """


ClientFactory = Callable[[Address], AbstractAsyncContextManager[DiscoveryClient]]
"""A function that opens a client of the agent at an address; leaving its context closes the client."""
