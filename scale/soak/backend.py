"""A backend of a soak run, which records what it executes and misbehaves at times."""

from __future__ import annotations

import asyncio
import random
import time
from math import inf
from typing import cast

import hiredis

from scale.addresses import Address
from scale.soak.books import Books, Execution
from scale.standins.resp import encode_bulk_string

LONGEST_SERVICE_S = 0.02
FAULTS = ("busy", "silent", "reset")


class RecordingBackend:
    """One backend; each command is answered with its request's id, or spoilt by a fault."""

    def __init__(self, books: Books, rng: random.Random, fault_share: float, cell: int) -> None:
        """Create a backend that does not listen, and of which discovery has told long ago."""
        self.books = books
        self.rng = rng
        self.fault_share = fault_share
        self.cell = cell
        self.told_at = -inf
        self.has_vanished = False  # gives no sign on its connections
        self.is_replaced = False  # another machine has its address, which resets unknown connections
        self._server: asyncio.Server | None = None

    async def listen(self, port: int = 0) -> Address:
        """Listen on a loopback port, by default an ephemeral one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", port)
        address: Address = self._server.sockets[0].getsockname()[:2]
        return address

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def vanish(self) -> None:
        """Stop listening, and give no further sign on open connections."""
        self.has_vanished = True
        self.close()


class _Connection(asyncio.Protocol):
    def __init__(self, backend: RecordingBackend) -> None:
        self.backend = backend
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        if self.backend.is_replaced:
            self._abort()
        if self.backend.has_vanished:
            return
        self.reader.feed(data)
        while (command := self.reader.gets()) is not False:
            if command[0] == b"PING":
                self._write(b"+PONG\r\n")
            else:
                self._execute(command)

    def _execute(self, command: list[bytes]) -> None:
        backend, request_id = self.backend, command[2]
        fault = backend.rng.choice(FAULTS) if backend.rng.random() < backend.fault_share else ""
        if fault == "busy":
            self._write(b"-BUSY\r\n")
            return
        fields = dict(pair.split(b"=", 1) for pair in command[3].split(b","))
        execution = Execution(
            request_id, time.monotonic(), int(fields[b"d"]) / 1000, backend.cell, backend.told_at
        )
        backend.books.executions[request_id].append(execution)
        delay_s = backend.rng.uniform(0.0, LONGEST_SERVICE_S)
        loop = asyncio.get_running_loop()
        if fault == "reset":
            loop.call_later(delay_s, self._abort)
        elif not fault:
            reply = b"*3\r\n%b$-1\r\n$-1\r\n" % encode_bulk_string(request_id)
            loop.call_later(delay_s, self._write, reply)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.backend.has_vanished:
            self.transport.write(data)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
