"""Decode endpoint lists from JSON; an invalid entry is skipped and logged."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from ingress.discovery.endpoint_entry import EndpointEntry, check_entry, to_backend
from ingress.discovery.errors import InvalidEndpointListError
from ingress.interface import Backend
from ingress.network.addresses import AddressBook

log = logging.getLogger(__name__)

MAX_LOGGED_ENTRIES = 50  # skipped entries of one list that are logged one by one
MAX_LOGGED_REASON_CHARS = 200
ENTRIES_PER_BATCH = 500  # decoded in about 5 ms, after which the event loop runs other callbacks
# A list of MAX_ENTRIES entries of ENTRY_BYTES bytes each is accepted if the memory limit allows that much.
MAX_ENTRIES = 250_000
ENTRY_BYTES = 130
# Largest share of `max_buffered_bytes` (a sixth of the memory that the program leaves free) that the body of
# one response may take.  While a list is decoded, the list takes three times as much memory as its body, the
# previous list two times as much, and the decision module's data on the backends six or seven times as much.
MAX_BODY_SHARE = 3 / 8


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One response of the agent: the complete endpoint list, or only the entries that changed."""

    version: int
    is_complete: bool
    """Whether this is the complete list."""
    backends: tuple[Backend, ...]
    addresses: AddressBook
    """The addresses of the backends by their ids."""


class UndecodedEndpointList(msgspec.Struct):
    """A response of the agent whose entries are not decoded yet."""

    version: int
    servers: list[msgspec.Raw]
    full: bool | None = None
    """Whether this is the complete list; None means that it is not."""


_list_decoder: msgspec.json.Decoder[UndecodedEndpointList] = msgspec.json.Decoder(UndecodedEndpointList)
_entry_decoder: msgspec.json.Decoder[EndpointEntry] = msgspec.json.Decoder(EndpointEntry)


def compute_max_body_bytes(max_buffered_bytes: int) -> int:
    """Return how many bytes a response may have if `max_buffered_bytes` may be buffered for one purpose."""
    return min(MAX_ENTRIES * ENTRY_BYTES, int(max_buffered_bytes * MAX_BODY_SHARE))


async def decode_endpoint_list(body: bytes | bytearray) -> EndpointList:
    """Decode the body of a response in batches, between which the event loop runs other callbacks.

    Skip and log invalid entries; raise InvalidEndpointListError if the body as a whole is invalid.
    """
    try:
        undecoded_list = _list_decoder.decode(body)
    except ValueError as error:
        raise InvalidEndpointListError(str(error)) from error
    raw_entries = undecoded_list.servers
    builder = EndpointListBuilder(undecoded_list.version)
    for start in range(0, len(raw_entries), ENTRIES_PER_BATCH):
        if start:
            await asyncio.sleep(0)
        builder.add(raw_entries[start : start + ENTRIES_PER_BATCH], _entry_decoder.decode)
    return builder.build(is_complete=bool(undecoded_list.full))


def parse_endpoint_list(source: Any) -> EndpointList:
    """Read an endpoint list from decoded JSON, such as the list in the configuration.

    Skip and log invalid entries; raise InvalidEndpointListError if the list as a whole is invalid.
    """
    if not isinstance(source, dict) or not isinstance(source.get("servers"), list):
        raise InvalidEndpointListError("no list of servers")
    version = source.get("version")
    if isinstance(version, bool) or not isinstance(version, int):
        raise InvalidEndpointListError(f"version is not an integer: {version!r}")
    builder = EndpointListBuilder(version)
    builder.add(source["servers"], lambda raw_entry: msgspec.convert(raw_entry, EndpointEntry))
    return builder.build(is_complete=bool(source.get("full")))


class EndpointListBuilder:
    """A builder that collects the valid entries of one endpoint list."""

    def __init__(self, version: int) -> None:
        self._version = version
        self._skipped_count = 0
        self._backends: list[Backend] = []
        self._addresses: dict[str, int] = {}

    def add(self, raw_entries: Iterable[Any], decode: Callable[[Any], EndpointEntry]) -> None:
        """Decode the entries with `decode` and add them; skip and log those that are invalid."""
        for raw_entry in raw_entries:
            try:
                entry = decode(raw_entry)
                address = check_entry(entry)
            except (ValueError, RecursionError) as error:
                self._skip_entry(error)
                continue
            self._backends.append(to_backend(entry))
            self._addresses[entry.id] = address

    def build(self, *, is_complete: bool) -> EndpointList:
        """Return the endpoint list of the entries that were added."""
        if self._skipped_count > MAX_LOGGED_ENTRIES:
            log.warning("endpoint entries skipped version=%s count=%d", self._version, self._skipped_count)
        return EndpointList(self._version, is_complete, tuple(self._backends), AddressBook(self._addresses))

    def _skip_entry(self, error: Exception) -> None:
        self._skipped_count += 1
        # A long list whose entries are all invalid must not flood the log.
        if self._skipped_count <= MAX_LOGGED_ENTRIES:
            log.warning(
                "endpoint entry skipped version=%s error=%s reason=%s",
                self._version,
                type(error).__name__,
                str(error)[:MAX_LOGGED_REASON_CHARS],
            )
