"""RESP2 as the stand-ins write it."""

from __future__ import annotations


def encode_bulk_string(text: bytes) -> bytes:
    """Return the text as a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(text), text)


def encode_array(*items: bytes) -> bytes:
    """Return an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(map(encode_bulk_string, items))
