"""Tests of endpoint lists: decoding and invalid entries."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

import pytest

from ingress.discovery.endpoint_list import (
    MAX_LOGGED_ENTRIES,
    EndpointList,
    decode_endpoint_list,
)
from ingress.discovery.errors import InvalidEndpointListError
from ingress.interface import Readiness
from tests.support.discovery import (
    LOCAL_ADDRESS,
    MALFORMED_ENTRY_FIELDS,
    encode_complete_list,
)
from tests.support.peers import (
    make_endpoint_entry,
)


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
