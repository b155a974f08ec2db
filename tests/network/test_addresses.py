"""Tests of addresses: parsing from text, and packing into one integer each."""

from __future__ import annotations

import pytest

from ingress.network.addresses import (
    AddressBook,
    pack_address,
    parse_address,
    parse_packed_address,
    unpack_address,
)


@pytest.mark.parametrize(
    "address",
    [("0.0.0.0", 0), ("0.0.0.1", 1), ("10.1.0.18", 6379), ("127.0.0.1", 65535), ("255.255.255.255", 65535)],
)
def test_packed_address_is_unpacked_to_the_same_address(address: tuple[str, int]) -> None:
    text = f"{address[0]}:{address[1]}"
    assert unpack_address(pack_address(address)) == address
    assert unpack_address(parse_packed_address(text)) == address
    assert parse_address(text) == address


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":",
        "1.2.3.4",
        "1.2.3.4:",
        "1.2.3:5",
        "1.2.3.4.5:6",
        "1.2.3.256:4",
        "1.2.3.04:5",
        "1.2.3.4:65536",
        "1.2.3.4:+5",
        "1.2.3.4: 5",
        " 1.2.3.4:5",
        "1.2.3.4\n:5",
        "::1:5",
        "localhost:5",
        "\0:5",
        "1.2.3.4:\u0665",
    ],
)
def test_malformed_address_raises_value_error(text: str) -> None:
    with pytest.raises(ValueError, match=r"is not an|embedded null"):
        parse_address(text)


def test_copy_of_an_address_book_is_independent() -> None:
    original = {"s1": ("10.0.0.1", 1), "s2": ("10.0.0.2", 2)}
    book = AddressBook.copy_of(original)
    copy = AddressBook.copy_of(book)
    copy["s1"] = ("10.0.0.9", 9)
    copy.discard("s2")
    copy.discard("s3")
    assert book == original
    assert copy == {"s1": ("10.0.0.9", 9)}
    assert "s2" not in copy
    assert len(copy) == 1
