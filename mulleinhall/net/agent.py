"""HTTP calls to the agent of discovery, and the ways in which a call can fail."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Protocol

import aiohttp

CONNECTIONS = 2  # at most, to the agent
IDLE_TIME = 60.0  # s that an idle connection is kept


class Unavailable(Exception):
    """Discovery gave no answer; the list that is held is as good as before."""


class TimedOut(Unavailable):
    """The call was not answered in time."""


class Crowded(Unavailable):
    """Discovery turned the call away."""


class Agent(Protocol):
    """What answers calls for the list."""

    async def get(self, query: str, timeout: float, most_bytes: int) -> bytes | bytearray:
        """The body of the answer to one call; Unavailable if there is none, ValueError if it is too long."""


class HttpAgent:
    """The agent at an address, called over HTTP/1.1."""

    def __init__(self, session: aiohttp.ClientSession, address: tuple[str, int]) -> None:
        self._session = session
        self._url = f"http://{address[0]}:{address[1]}/api/targets"

    async def get(self, query: str, timeout: float, most_bytes: int) -> bytes | bytearray:
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self._session.get(self._url + query, timeout=limit) as answer:
                if answer.status != 200:
                    raise Crowded(f"status {answer.status}")
                return await _read_body(answer, most_bytes)
        except TimeoutError as error:
            raise TimedOut(f"{type(error).__name__}: {error}") from None
        except (aiohttp.ClientError, OSError) as error:
            raise Unavailable(f"{type(error).__name__}: {error}") from None


async def _read_body(answer: aiohttp.ClientResponse, most_bytes: int) -> bytearray:
    if (answer.content_length or 0) > most_bytes:
        raise _too_long(most_bytes)
    body = bytearray()
    async for part in answer.content.iter_any():
        body += part
        if len(body) > most_bytes:
            # Guards the memory against an answer that never ends.
            raise _too_long(most_bytes)
    return body


def _too_long(most_bytes: int) -> ValueError:
    return ValueError(f"the list is too long: more than the {most_bytes} bytes that limits.memory_mb allows")


@asynccontextmanager
async def connect(address: tuple[str, int]) -> AsyncIterator[Agent]:
    """A client of the agent; its connections are closed at the end."""
    connector = aiohttp.TCPConnector(limit=CONNECTIONS, keepalive_timeout=IDLE_TIME)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield HttpAgent(session, address)
