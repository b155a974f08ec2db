"""The program as a process: it starts, serves, and answers every request before it ends on SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from ingress.process import shutdown
from tests.support.peers import (
    SETTINGS,
    Address,
    Caller,
    Peer,
    Reader,
    Writer,
    backend,
    command,
    config_text,
    entry,
    read_command,
    resp,
    run,
    value,
)
from tests.support.process import CONFIG_FILE, listening, running


@asynccontextmanager
async def running_program(
    peer: Peer, folder: Path, settings: dict[str, Any] = SETTINGS
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Address]]:
    """Run the program with `peer` as its eight backends; yield once it answers a PING."""
    entries = (entry(peer.address, f"s{n}") for n in range(8))
    async with listening(folder, *entries, settings=settings) as (process, address):
        caller = await Caller.to(address)
        assert await caller.ask(resp(b"PING")) == b"PONG"
        caller.writer.close()
        yield process, address


def test_graceful_shutdown_answers_every_request(tmp_path: Path) -> None:
    release_slow_reply = asyncio.Event()

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            arguments = await read_command(reader)
            if arguments[2] == b"slow":
                await release_slow_reply.wait()
            writer.write(value(arguments[2]))

    async def body() -> None:
        async with Peer(script) as peer, running_program(peer, tmp_path) as (process, address):
            slow, idle = await Caller.to(address), await Caller.to(address)
            slow.writer.write(command("slow"))
            assert await idle.ask(command("before")) == b"before"
            process.send_signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            # New and existing connections are still served for a while.
            new = await Caller.to(address)
            assert await new.ask(command("fresh")) == b"fresh"
            assert await idle.ask(command("after")) == b"after"
            with pytest.raises((EOFError, ConnectionError)):
                await idle.answer()
            assert time.monotonic() - stopped_at >= 0.4
            with pytest.raises(ConnectionError):
                await Caller.to(address)
            release_slow_reply.set()
            assert await slow.answer() == b"slow"
            with pytest.raises((EOFError, ConnectionError)):
                await slow.answer()
            assert await process.wait() == 0

    run(body())


def test_requests_in_flight_are_answered_before_sigkill(tmp_path: Path) -> None:
    async def body() -> None:
        classes = [c | {"give-up-s": 60.0, "aim-s": 60.0} for c in SETTINGS["categories"]]
        long_deadline_settings = SETTINGS | {"categories": classes}
        async with (
            backend(b"") as peer,
            running_program(peer, tmp_path, long_deadline_settings) as (process, address),
        ):
            caller = await Caller.to(address)
            caller.writer.write(command(d=60_000))
            process.send_signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            assert str(await caller.answer()) == "ERR failed"
            assert await process.wait() == 0
            assert time.monotonic() - stopped_at < shutdown.MAX_COUNTED_DEADLINE_S + shutdown.SIGKILL_DELAY_S

    run(body())


def test_address_in_use_ends_the_program_with_an_error(tmp_path: Path) -> None:
    async def body() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            text = config_text(listen=f"127.0.0.1:{server.getsockname()[1]}")
            async with running(tmp_path / CONFIG_FILE, text) as process:
                _, errors = await process.communicate()
                assert process.returncode == 1
                assert b"listen" in errors

    run(body())
