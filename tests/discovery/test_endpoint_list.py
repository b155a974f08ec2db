"""Tests of endpoint lists: decoding, invalid entries, size limits, and the event loop during a long list."""

from __future__ import annotations

import asyncio
import json
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
    MAX_LOGGED_ENTRIES,
    EndpointList,
    EndpointListBuilder,
    compute_max_body_bytes,
    decode_endpoint_list,
)
from ingress.discovery.errors import InvalidEndpointListError
from ingress.discovery.watch import EndpointWatch
from ingress.interface import Readiness
from tests.support.discovery import (
    LOCAL_ADDRESS,
    MALFORMED_ENTRY_FIELDS,
    encode_endpoint_list,
    encode_http_response,
    running_watch,
)
from tests.support.peers import (
    Reader,
    ScriptedServer,
    Writer,
    make_config,
    make_endpoint_entry,
    run_async_test,
    wait_until,
)


def encode_complete_list(count: int, **changes: Any) -> bytes:
    entries = [make_endpoint_entry(LOCAL_ADDRESS, f"s-{number:08x}") | changes for number in range(count)]
    return encode_endpoint_list(41, True, *entries)


def decode(body: bytes | bytearray) -> EndpointList:
    return asyncio.run(decode_endpoint_list(body))


@pytest.mark.parametrize(
    "encode_source",
    [
        lambda source: json.dumps(source),
        lambda source: json.dumps(source, indent=4),
        lambda source: " \n" + json.dumps(source, indent="\t", separators=(" , ", " : ")) + "\r\n ",
        lambda source: json.dumps(source | {"more": {"a": [1, {}]}}),
        lambda source: json.dumps(dict(reversed(source.items()))),
    ],
)
@pytest.mark.parametrize("buffer_type", [bytes, bytearray])
def test_list_is_decoded_whatever_its_whitespace_and_key_order(
    encode_source: Callable[[dict[str, Any]], str], buffer_type: type[bytes] | type[bytearray]
) -> None:
    entries = [
        make_endpoint_entry(LOCAL_ADDRESS, started_ms=1_700_000_000_500) | {"other": [1]},
        make_endpoint_entry(LOCAL_ADDRESS, "s2", "draining"),
    ]
    source = {"version": 43, "full": False, "servers": entries}
    endpoint_list = decode(buffer_type(encode_source(source).encode()))
    assert (endpoint_list.version, endpoint_list.is_complete) == (43, False)
    assert [
        (
            backend.id,
            backend.zone,
            backend.kind,
            backend.cell,
            backend.readiness,
            backend.weight,
            backend.started,
        )
        for backend in endpoint_list.backends
    ] == [
        ("s1", "a", "m", 1, Readiness.READY, 1.0, 1_700_000_000.5),
        ("s2", "a", "m", 1, Readiness.DRAINING, 1.0, 0.0),
    ]
    assert dict(endpoint_list.addresses) == {"s1": LOCAL_ADDRESS, "s2": LOCAL_ADDRESS}


def test_optional_fields_of_an_entry_have_defaults() -> None:
    endpoint_list = decode(
        b'{"servers":[{"id":"s1","addr":"127.0.0.1:6379","state":"ready"},'
        b'{"id":"s2","addr":"127.0.0.1:6379","state":"gone","weight":2,"started_ms":null}],"version":4}'
    )
    [first, second] = endpoint_list.backends
    assert (first.zone, first.kind, first.cell, first.weight, first.started) == ("", "", 0, 1.0, 0.0)
    assert (second.readiness, second.weight, second.started) == (Readiness.REMOVED, 2.0, 0.0)
    assert isinstance(second.weight, float)
    assert not endpoint_list.is_complete


@pytest.mark.parametrize("change", MALFORMED_ENTRY_FIELDS)
def test_malformed_entry_of_a_response_is_skipped_and_logged(
    change: dict[str, Any], caplog: pytest.LogCaptureFixture
) -> None:
    entries = [
        make_endpoint_entry(LOCAL_ADDRESS) | change,
        make_endpoint_entry(LOCAL_ADDRESS, "s2"),
        5,
        None,
        [],
        "s3",
    ]
    with caplog.at_level(logging.WARNING):
        endpoint_list = decode(json.dumps({"version": 1, "full": True, "servers": entries}).encode())
    assert [backend.id for backend in endpoint_list.backends] == ["s2"]
    assert list(endpoint_list.addresses) == ["s2"]
    assert len(caplog.records) == 5
    assert all(len(record.getMessage()) < 400 for record in caplog.records)


@pytest.mark.parametrize("key", ["id", "addr", "state"])
def test_entry_without_a_required_field_is_skipped(key: str) -> None:
    entry = make_endpoint_entry(LOCAL_ADDRESS)
    del entry[key]
    assert not decode(json.dumps({"version": 1, "servers": [entry]}).encode()).backends


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"5",
        b"null",
        b"\xff",
        b'{"version":1}',
        b'{"version":"x","servers":[]}',
        b'{"version":true,"servers":[]}',
        b'{"version":1.5,"servers":[]}',
        b'{"version":1,"servers":{}}',
        b'{"version":1,"servers":null}',
        b'{"version":1,"servers":[}',
        b'{"servers":[]}',
        b'{"version":1,"servers":[]} {}',
        b'{"version":1,"full":"no","servers":[]}',
    ],
)
def test_invalid_response_raises_an_error(body: bytes) -> None:
    with pytest.raises(InvalidEndpointListError):
        decode(body)


def test_log_lines_of_malformed_entries_are_limited(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.WARNING):
        endpoint_list = decode(encode_complete_list(2_000, addr="nowhere"))
    assert not endpoint_list.backends
    assert len(caplog.records) == MAX_LOGGED_ENTRIES + 1
    assert "entries skipped version=41 count=2000" in caplog.records[-1].getMessage()


def test_equal_values_of_entries_share_one_object() -> None:
    entries = decode(encode_complete_list(600, zone="hall-a-1", kind="m-2")).backends
    for name in ("zone", "kind", "weight", "started"):
        assert len({id(getattr(entry, name)) for entry in entries}) == 1


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
