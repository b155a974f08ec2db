"""The stand-in of the discovery agent: serves a registry of backends over HTTP/1.1 long polls."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from enum import Enum
from typing import cast
from urllib.parse import parse_qs, urlsplit

from scale.addresses import Address
from scale.standins.registry import Entry, PublishedChange, Registry

MAX_HEAD_BYTES = 8192  # longest head of a request
MAX_WATCH_WAIT_S = 60.0  # longest time for which a long poll is held open


class AgentMode(Enum):
    """How the agent answers calls."""

    UP = "up"
    """Answer each call."""
    SILENT = "silent"
    """Accept calls, but answer none."""
    REFUSING = "refusing"
    """Answer each call with status 503."""


@dataclass(slots=True)
class AgentCounts:
    """The calls to one listener of the agent, and the bytes that it received and sent."""

    calls: int = 0
    complete_lists: int = 0
    """Responses that contained the complete list of backends."""
    refused: int = 0
    """Calls that were answered with status 503."""
    bytes_in: int = 0
    bytes_out: int = 0


def _encode_response(status: bytes, body: bytes) -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b" % (
        status,
        len(body),
        body,
    )


class AgentConnection(asyncio.Protocol):
    """One connection of an ingress; each call is answered before the next one is read."""

    def __init__(self, agent: Agent, group: str) -> None:
        self.agent = agent
        self.group = group
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        # The version of the list that the caller of the pending call has, or None if it has no list yet.
        self.held_version: int | None = None
        self.is_call_pending = False  # the last call has not been answered yet
        self.wait_timer: asyncio.TimerHandle | None = None  # answers a long poll at the end of its wait

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.agent.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection and drop its pending call."""
        self._clear_pending_call()
        self.transport = None
        self.agent.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Buffer the received bytes and handle the next call, unless one is pending."""
        self.agent.counts[self.group].bytes_in += len(data)
        self.buffer += data
        if not self.is_call_pending:
            self._handle_buffered_calls()

    def _handle_buffered_calls(self) -> None:
        while not self.is_call_pending and self.transport is not None:
            head, separator, rest = self.buffer.partition(b"\r\n\r\n")
            if not separator:
                if len(head) > MAX_HEAD_BYTES:
                    self.transport.close()
                return
            self.buffer = rest
            self._handle_call(head)

    def _handle_call(self, head: bytes) -> None:
        try:
            method, target, _ = head.split(b"\r\n", 1)[0].decode("ascii").split(" ")
            url = urlsplit(target)
            query = {key: int(values[0]) for key, values in parse_qs(url.query).items()}
        except ValueError:
            method, query, url = "", {}, urlsplit("")
        if method != "GET" or url.path != "/api/targets":
            self._write(_encode_response(b"400 Bad Request", b""))
            if self.transport is not None:
                self.transport.close()
            return
        self._answer_or_hold(
            query.get("after"), min(max(query.get("wait_ms", 0) / 1000, 0.0), MAX_WATCH_WAIT_S)
        )

    def _answer_or_hold(self, held_version: int | None, wait_s: float) -> None:
        """Answer a valid call immediately, or hold it until the list changes or its wait ends."""
        counts = self.agent.counts[self.group]
        counts.calls += 1
        if held_version is not None:
            self.agent.record_acted_version(self.group, held_version)
        if self.agent.mode is AgentMode.REFUSING:
            counts.refused += 1
            self._write(_encode_response(b"503 Service Unavailable", b""))
            return
        self.held_version = held_version
        self.is_call_pending = True
        if self.agent.mode is AgentMode.SILENT:
            return
        if held_version != self.agent.registry.version or not wait_s:
            self.answer_pending_call()
        else:
            self.wait_timer = self.agent.loop.call_later(wait_s, self.answer_pending_call)

    def answer_pending_call(self) -> None:
        """Answer the pending call, unless the agent is silent."""
        if self.transport is None or not self.is_call_pending or self.agent.mode is AgentMode.SILENT:
            return
        held_version = self.held_version
        self._clear_pending_call()
        body = self.agent.registry.encode_response_body(held_version)
        if held_version is None or b'"full":true' in body[:64]:
            self.agent.counts[self.group].complete_lists += 1
        self._write(_encode_response(b"200 OK", body))
        if self.buffer:
            self.agent.loop.call_soon(self._handle_buffered_calls)

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)
            self.agent.counts[self.group].bytes_out += len(data)

    def _clear_pending_call(self) -> None:
        self.is_call_pending = False
        if self.wait_timer is not None:
            self.wait_timer.cancel()
            self.wait_timer = None


class Agent:
    """Serves one registry on any number of listeners.

    Each listener has a group, the name under which its calls are counted.
    """

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.mode = AgentMode.UP
        self.loop = asyncio.get_running_loop()
        self.connections: set[AgentConnection] = set()
        self.counts: dict[str, AgentCounts] = {}  # by group
        # By group: each version that an ingress has acted on, and when its next call showed that (monotonic
        # clock).
        self.acted_versions: dict[str, list[tuple[int, float]]] = {}
        self.published_changes: list[PublishedChange] = []
        self._servers: dict[str, asyncio.Server] = {}  # by group

    async def listen(self, group: str) -> Address:
        """Open the listener of a group on an ephemeral loopback port."""
        server = await self.loop.create_server(
            lambda: AgentConnection(self, group), "127.0.0.1", 0, backlog=4096
        )
        self._servers[group] = server
        self.counts.setdefault(group, AgentCounts())
        self.acted_versions.setdefault(group, [])
        address: Address = server.sockets[0].getsockname()[:2]
        return address

    async def move_listener(self, group: str) -> Address:
        """Move the listener of a group to another port and reset the connections to the old one."""
        self._servers.pop(group).close()
        for connection in [moved for moved in self.connections if moved.group == group]:
            if connection.transport is not None:
                connection.transport.abort()
        return await self.listen(group)

    def count_up_to_date_watches(self) -> int:
        """Return the number of pending long polls whose callers have the newest version."""
        return sum(
            connection.is_call_pending and connection.held_version == self.registry.version
            for connection in self.connections
        )

    def record_acted_version(self, group: str, version: int) -> None:
        """Record that an ingress has acted on a version: its call asks for the changes after that version."""
        acted_versions = self.acted_versions[group]
        if not acted_versions or acted_versions[-1][0] != version:
            acted_versions.append((version, time.monotonic()))

    def publish(self, *entries: Entry) -> PublishedChange:
        """Publish a change of some entries, and answer the long polls with it."""
        change = self.registry.publish(entries)
        self.published_changes.append(change)
        self._answer_due_calls()
        return change

    def set_mode(self, mode: AgentMode) -> None:
        """Set how calls are answered; the mode UP answers the calls that were accepted while SILENT."""
        self.mode = mode
        if mode is AgentMode.UP:
            self._answer_due_calls()

    def _answer_due_calls(self) -> None:
        """Answer the calls whose version is not the newest, and those accepted while the agent was silent.

        Calls of the second kind are recognised by their missing timer.
        """
        for connection in list(self.connections):
            if connection.is_call_pending and (
                connection.held_version != self.registry.version or connection.wait_timer is None
            ):
                connection.answer_pending_call()

    def close(self) -> None:
        """Close the listeners and reset the connections."""
        for server in self._servers.values():
            server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
