"""Addresses (IPv4 and port): parsing from text, and packing into one integer each to save memory."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Self

Address = tuple[str, int]
"""An IPv4 address in dotted form, and a port."""

PORT_BITS = 16
PORT_COUNT = 1 << PORT_BITS
HOST_BYTES = 4


def parse_address(text: str) -> Address:
    """Parse "host:port"; raise ValueError unless the host is an IPv4 address.

    Host names are not accepted: nothing resolves them, and connecting to one fails with errors of many kinds.
    """
    return unpack_address(parse_packed_address(text))


def parse_packed_address(text: str) -> int:
    """Parse "host:port" into a packed address; raise ValueError unless the host is an IPv4 address."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal()) or not 0 <= int(port) < PORT_COUNT:
        raise ValueError(f"{text!r} is not an address and port")
    return _pack_host(host) << PORT_BITS | int(port)


def pack_address(address: Address) -> int:
    """Pack an address into one integer; raise ValueError unless the host is an IPv4 address."""
    host, port = address
    return _pack_host(host) << PORT_BITS | port


def unpack_address(packed: int) -> Address:
    """Return the address that was packed into the integer."""
    host = (packed >> PORT_BITS).to_bytes(HOST_BYTES, "big")
    return socket.inet_ntoa(host), packed % PORT_COUNT


def _pack_host(host: str) -> int:
    try:
        return int.from_bytes(socket.inet_pton(socket.AF_INET, host), "big")
    except OSError:
        raise ValueError(f"{host!r} is not an IPv4 address") from None


class AddressBook(Mapping[str, Address]):
    """A mapping of backend ids to addresses, which stores each address as a packed integer."""

    __slots__ = ("_packed",)

    def __init__(self, packed: dict[str, int] | None = None) -> None:
        """Create a book from packed addresses by backend id, which it uses without making a copy."""
        self._packed = {} if packed is None else packed

    @classmethod
    def copy_of(cls, addresses: Mapping[str, Address]) -> Self:
        """Return a new book with the same addresses."""
        if isinstance(addresses, AddressBook):
            return cls(addresses.to_packed())
        return cls({backend_id: pack_address(address) for backend_id, address in addresses.items()})

    def __getitem__(self, backend_id: str) -> Address:
        return unpack_address(self._packed[backend_id])

    def __setitem__(self, backend_id: str, address: Address) -> None:
        self._packed[backend_id] = pack_address(address)

    def __contains__(self, backend_id: object) -> bool:
        return backend_id in self._packed

    def __iter__(self) -> Iterator[str]:
        return iter(self._packed)

    def __len__(self) -> int:
        return len(self._packed)

    def to_packed(self) -> dict[str, int]:
        """Return a copy of the packed addresses, by backend id."""
        return self._packed.copy()

    def find_shared_addresses(self) -> dict[str, Address]:
        """Return the ids of the backends that have an address in common with others, and the addresses."""
        if len(set(self._packed.values())) == len(self._packed):
            return {}
        counts = Counter(self._packed.values())
        return {
            backend_id: unpack_address(packed)
            for backend_id, packed in self._packed.items()
            if counts[packed] > 1
        }

    def discard(self, backend_id: str) -> None:
        """Remove the address of a backend, if the book has one."""
        self._packed.pop(backend_id, None)
