"""Scripted servers on ephemeral loopback ports, clients, and configurations that refer to them."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Self

import hiredis
import uvloop

from ingress.process.configuration import Config, read_config

TEST_TIMEOUT_S = 20.0  # a test that takes longer fails
POLL_INTERVAL_S = 0.002
Address = tuple[str, int]
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


def run_async_test(body: Coroutine[Any, Any, None]) -> None:
    """Run the body of a test in a new event loop, for at most TEST_TIMEOUT_S."""
    uvloop.run(asyncio.wait_for(body, TEST_TIMEOUT_S))


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition is true.

    The function polls the condition, because most state of the code under test has no event to wait for.
    """
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)


class DelayedConnectLoop:
    """Wrapper of the running event loop that delays new connections until the test allows them."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_allowed = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def sock_connect(self, sock: socket.socket, address: Address) -> None:
        """Connect the socket once the test has set the event."""
        await self.connect_allowed.wait()
        await self.loop.sock_connect(sock, address)


class ScriptedServer:
    """A server that runs `script` with the number (from 0), the reader and the writer of each connection."""

    def __init__(self, script: Callable[[int, Reader, Writer], Awaitable[None]], port: int = 0) -> None:
        self.script = script
        self.port = port
        self.connection_count = 0  # accepted so far
        self.ended_connection_count = 0  # how many of them have ended
        self.received_commands: list[list[bytes]] = []  # as recorded by the script
        self.connection_tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.address: Address = self.server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for task in self.connection_tasks:
            task.cancel()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.connection_tasks.add(task)
        self.connection_count += 1
        try:
            await self.script(self.connection_count - 1, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the connection or the test has ended; asyncio's streams would log a cancelled task
        finally:
            self.ended_connection_count += 1
            self.connection_tasks.discard(task)
            writer.close()


def reset_connection(writer: Writer) -> None:
    """Close a connection so that the other end sees a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_command(reader: Reader) -> list[bytes]:
    """Read the next RESP command; return its name and arguments."""
    argument_count = int((await reader.readuntil(b"\r\n"))[1:])
    arguments = []
    for _ in range(argument_count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        arguments.append((await reader.readexactly(size + 2))[:-2])
    return arguments


async def read_request(reader: Reader, writer: Writer) -> list[bytes]:
    """Read the next request as a backend does, and answer each PING before it."""
    while (arguments := await read_command(reader)) == [b"PING"]:
        writer.write(b"+PONG\r\n")
    return arguments


def encode_value_reply(text: bytes) -> bytes:
    """Return the reply of a backend that holds this value; the two other items of the reply are null."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(text), text)


def make_scripted_backend(reply: bytes | None = None) -> ScriptedServer:
    """Return a backend that sends `reply` to each command; b"" sends none, None echoes the request id."""

    async def serve_connection(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            arguments = await read_request(reader, writer)
            server.received_commands.append(arguments)
            writer.write(encode_value_reply(arguments[2]) if reply is None else reply)

    server = ScriptedServer(serve_connection)
    return server


def make_command(
    request_id: str = "00000000000000aa",
    class_name: str = "read",
    wait_ms: int = 2000,
    customer: int = 7,
    command_name: str | None = None,
    body: bytes | None = None,
    extra_fields: str = "",
) -> bytes:
    """Return a valid API.READ, or an API.WRITE if the class is not "read", encoded in RESP."""
    if class_name != "read":
        command_name, extra_fields, body = (
            command_name or "API.WRITE",
            extra_fields + ",k=0123456789abcdef",
            body or b"body",
        )
    fields = f"c={class_name},t=basic,d={wait_ms}{extra_fields},units=1,spread=1,first=0"
    arguments = [
        (command_name or "API.READ").encode(),
        b"%016x" % customer,
        request_id.encode(),
        fields.encode(),
    ]
    return encode_resp_array(*arguments, *([] if body is None else [body]))


def encode_resp_array(*items: bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


class RespClient:
    """A client's connection to an ingress."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = hiredis.Reader(notEnoughData=self)

    @classmethod
    async def connect(cls, address: Address) -> Self:
        """Connect to the address."""
        return cls(*await asyncio.open_connection(*address))

    async def read_reply(self) -> Any:
        """Return the next reply; raise EOFError if the connection ends first."""
        while (reply := self.parser.gets()) is self:
            data = await self.reader.read(1 << 16)
            if not data:
                raise EOFError
            self.parser.feed(data)
        return reply

    async def send_and_read_reply(self, data: bytes) -> Any:
        """Send a command, and return the next reply."""
        self.writer.write(data)
        return await self.read_reply()

    async def closes_without_reset(self) -> bool:
        """Return whether the connection is closed without further data; raise ConnectionError on a reset."""
        return await self.reader.read() == b""


WIRE_SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "self-index": 0,
    "zone": "a",
    "tick-s": 0.002,
    "membership-mode": "pushed",
    "categories": [
        {"name": "read", "aim-s": 1.0, "give-up-s": 2.0, "importance": 1.0, "semantics": "safe"},
        {
            "name": "order",
            "aim-s": 1.0,
            "give-up-s": 2.0,
            "importance": 1.0,
            "semantics": "keyed",
            "dedup-window-s": 4.0,
        },
    ],
    "contracts": [{"name": "basic", "refill": 100.0, "burst": 500.0}],
    "limits": {"max-attempts": 4, "connect-timeout-s": 0.25, "keepalive-s": 15.0},
    "rules": {"drain-grace-s": 1.0},
    "family-info": {},
}


def make_endpoint_entry(
    address: Address, backend_id: str = "s1", state: str = "ready", started_ms: int = 0
) -> dict[str, Any]:
    """Return the entry of a backend in an endpoint list."""
    return {
        "id": backend_id,
        "addr": f"{address[0]}:{address[1]}",
        "zone": "a",
        "kind": "m",
        "cell": 1,
        "state": state,
        "weight": 1.0,
        "started_ms": started_ms,
    }


def make_config_text(
    *servers: dict[str, Any], listen: str = "127.0.0.1:0", discovery: str = "127.0.0.1:1", **changes: Any
) -> str:
    """Return the text of a configuration file whose known endpoint list has the entries `servers`.

    `changes` override keys of the file; None removes the key.
    """
    values = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": list(servers)},
        "settings": WIRE_SETTINGS,
    }
    return json.dumps({key: value for key, value in (values | changes).items() if value is not None})


def make_config(*servers: dict[str, Any], **changes: Any) -> Config:
    """Return the configuration from the file that `make_config_text` returns for the same arguments."""
    return read_config(make_config_text(*servers, **changes))
