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
    WIRE_SETTINGS,
    Address,
    Reader,
    RespClient,
    ScriptedServer,
    Writer,
    encode_resp_array,
    encode_value_reply,
    make_command,
    make_config_text,
    make_endpoint_entry,
    make_scripted_backend,
    read_command,
    run_async_test,
)
from tests.support.process import CONFIG_FILE_NAME, listening_process, running_process


@asynccontextmanager
async def running_program(
    peer: ScriptedServer, folder: Path, settings: dict[str, Any] = WIRE_SETTINGS
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Address]]:
    """Run the program with `peer` as each of its eight backends; yield once it replies to a PING."""
    entries = (make_endpoint_entry(peer.address, f"s{n}") for n in range(8))
    async with listening_process(folder, *entries, settings=settings) as (process, address):
        caller = await RespClient.connect(address)
        assert await caller.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
        caller.writer.close()
        yield process, address


def test_graceful_shutdown_answers_every_request(tmp_path: Path) -> None:
    release_slow_reply = asyncio.Event()

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            arguments = await read_command(reader)
            if arguments[2] == b"slow":
                await release_slow_reply.wait()
            writer.write(encode_value_reply(arguments[2]))

    async def body() -> None:
        async with ScriptedServer(script) as peer, running_program(peer, tmp_path) as (process, address):
            slow, idle = await RespClient.connect(address), await RespClient.connect(address)
            slow.writer.write(make_command("slow"))
            assert await idle.send_and_read_reply(make_command("before")) == b"before"
            process.send_signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            # New and existing connections are still served for a while.
            new = await RespClient.connect(address)
            assert await new.send_and_read_reply(make_command("fresh")) == b"fresh"
            assert await idle.send_and_read_reply(make_command("after")) == b"after"
            with pytest.raises((EOFError, ConnectionError)):
                await idle.read_reply()
            assert time.monotonic() - stopped_at >= 0.4
            with pytest.raises(ConnectionError):
                await RespClient.connect(address)
            release_slow_reply.set()
            assert await slow.read_reply() == b"slow"
            with pytest.raises((EOFError, ConnectionError)):
                await slow.read_reply()
            assert await process.wait() == 0

    run_async_test(body())


def test_requests_in_flight_are_answered_before_sigkill(tmp_path: Path) -> None:
    async def body() -> None:
        classes = [c | {"give-up-s": 60.0, "aim-s": 60.0} for c in WIRE_SETTINGS["categories"]]
        long_deadline_settings = WIRE_SETTINGS | {"categories": classes}
        async with (
            make_scripted_backend(b"") as peer,
            running_program(peer, tmp_path, long_deadline_settings) as (process, address),
        ):
            caller = await RespClient.connect(address)
            caller.writer.write(make_command(wait_ms=60_000))
            process.send_signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            assert str(await caller.read_reply()) == "ERR failed"
            assert await process.wait() == 0
            assert time.monotonic() - stopped_at < shutdown.MAX_COUNTED_DEADLINE_S + shutdown.SIGKILL_DELAY_S

    run_async_test(body())


def test_address_in_use_ends_the_program_with_an_error(tmp_path: Path) -> None:
    async def body() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            text = make_config_text(listen=f"127.0.0.1:{server.getsockname()[1]}")
            async with running_process(tmp_path / CONFIG_FILE_NAME, text) as process:
                _, errors = await process.communicate()
                assert process.returncode == 1
                assert b"listen" in errors

    run_async_test(body())
