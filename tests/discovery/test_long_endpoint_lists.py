"""Tests of long endpoint lists: the event loop meanwhile, a cancelled watch, and size limits."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import pytest

from ingress.discovery import watch as watch_module
from ingress.discovery.client import DiscoveryClient
from ingress.discovery.endpoint_list import (
    ENTRIES_PER_BATCH,
    EndpointList,
    EndpointListBuilder,
    compute_max_body_bytes,
    decode_endpoint_list,
)
from ingress.discovery.watch import EndpointWatch
from tests.support.discovery import (
    LOCAL_ADDRESS,
    encode_complete_list,
    encode_http_response,
    running_watch,
)
from tests.support.peers import (
    Reader,
    ScriptedServer,
    Writer,
    make_config,
    run_async_test,
    wait_until,
)


def test_event_loop_runs_while_a_long_list_is_decoded() -> None:
    async def body() -> None:
        loop_iterations = 0
        batch_count = 10
        encoded_list = encode_complete_list(batch_count * ENTRIES_PER_BATCH)
        decode_task = asyncio.create_task(decode_endpoint_list(encoded_list))
        while not decode_task.done():
            await asyncio.sleep(0)
            loop_iterations += 1
        assert len(decode_task.result().backends) == batch_count * ENTRIES_PER_BATCH
        assert loop_iterations >= batch_count

    run_async_test(body())


class LongListAgent:
    """An agent that answers the first call with a long list and no other call."""

    def __init__(self) -> None:
        self.call_count = 0

    @asynccontextmanager
    async def open_client(self, _: tuple[str, int]) -> AsyncIterator[DiscoveryClient]:
        yield self

    async def fetch(self, query: str, timeout_s: float, max_body_bytes: int) -> bytes:
        self.call_count += 1
        if self.call_count > 1:
            await asyncio.Event().wait()
        return encode_complete_list(4 * ENTRIES_PER_BATCH)


def test_watch_cancelled_while_decoding_a_list_applies_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a SIGHUP, a list from the previous agent must not replace the list of the new one."""

    async def body() -> None:
        updates: list[EndpointList] = []
        decoded_batch_sizes: list[int] = []
        decoding = asyncio.Event()
        add = EndpointListBuilder.add

        def add_and_count(
            builder: EndpointListBuilder, entries: list[Any], decode: Callable[[Any], Any]
        ) -> None:
            decoded_batch_sizes.append(len(entries))
            decoding.set()
            add(builder, entries, decode)

        monkeypatch.setattr(EndpointListBuilder, "add", add_and_count)
        agent = LongListAgent()
        watch = EndpointWatch(
            LOCAL_ADDRESS,
            lambda _, endpoint_list: updates.append(endpoint_list),
            Random(1),
            open_client=agent.open_client,
        )
        async with running_watch(watch):
            await decoding.wait()  # the event loop resumes this test between two batches
            assert 0 < len(decoded_batch_sizes) < 4
        assert not updates
        assert watch.version is None
        assert agent.call_count == 1

    run_async_test(body())


async def receive_first_list(peer: ScriptedServer, max_body_bytes: int) -> EndpointList:
    """Return the first list that a watch on this agent reports."""
    updates: list[EndpointList] = []
    watch = EndpointWatch(
        peer.address,
        lambda _, endpoint_list: updates.append(endpoint_list),
        Random(1),
        max_body_bytes=max_body_bytes,
    )
    async with running_watch(watch):
        await wait_until(lambda: updates)
    return updates[0]


def test_list_of_sixty_thousand_backends_is_accepted() -> None:
    encoded_list = encode_complete_list(60_000)
    assert len(encoded_list) > 4 * 1024 * 1024

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(encode_http_response(encoded_list))
        await reader.read()

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            endpoint_list = await receive_first_list(
                peer, compute_max_body_bytes(make_config().max_buffered_bytes)
            )
        assert len(endpoint_list.backends) == len(endpoint_list.addresses) == 60_000

    run_async_test(body())


@pytest.mark.parametrize("header", [b"Content-Length: 1000000000", b"Transfer-Encoding: chunked"])
def test_list_beyond_the_size_limit_is_dropped_and_logged(
    header: bytes, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_module, "DEFAULT_MAX_BODY_BYTES", 100_000)
    chunk = b" " * 65_536
    if header.startswith(b"Transfer"):
        chunk = b"10000\r\n" + chunk + b"\r\n"

    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            if number:
                writer.write(encode_http_response(encode_complete_list(1)))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\n" + header + b"\r\n\r\n")
            while True:
                writer.write(chunk)
                await writer.drain()

    async def body() -> None:
        async with ScriptedServer(script) as peer:
            endpoint_list = await asyncio.wait_for(
                receive_first_list(peer, 0), 2.0
            )  # before the call times out
        assert len(endpoint_list.backends) == 1

    with caplog.at_level(logging.WARNING):
        run_async_test(body())
    assert "too long: more than the 100000 bytes that limits.memory_mb allows" in caplog.text


def test_size_limit_of_a_list_follows_the_memory_limit() -> None:
    def compute_limit(memory_mb: int) -> int:
        limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
        return compute_max_body_bytes(make_config(limits=limits).max_buffered_bytes)

    assert compute_limit(64) < compute_limit(192) < compute_limit(384)
    assert all(compute_limit(memory_mb) * 12 < memory_mb * 1024 * 1024 for memory_mb in (64, 192, 384, 2_048))
    assert compute_limit(2_048) == compute_limit(16_384) == 250_000 * 130
