"""Framing of RESP2 arrays: finds the end of a frame before the frame is passed to a parser.

Counts and lengths are checked as soon as their header has arrived.  The parser allocates as much memory as a
header claims, so it is given only complete frames whose headers were checked.
"""

from __future__ import annotations

from ingress.network.errors import ProtocolError

MAX_HEADER_BYTES = 16  # maximum length of a line with a count or a length, including its terminator
ARRAY_TYPE_BYTE = ord("*")
BULK_STRING_TYPE_BYTE = ord("$")
TERMINATOR = b"\r\n"
TERMINATOR_BYTES = len(TERMINATOR)
NULL_BULK_STRING = b"$-1\r\n"
INCOMPLETE = -1  # returned instead of an index: the rest of the frame has not arrived yet


class FrameError(ProtocolError):
    """The received bytes are malformed or exceed a limit; the bytes after them cannot be interpreted.

    The messages are part of the protocol with clients: the downstream connection sends them as error replies.
    """


def find_array_end(
    data: bytes | bytearray,
    start: int,
    max_items: int,
    max_item_bytes: int,
    max_array_bytes: int,
    allow_null: bool = False,
) -> int:
    """Return the index after the array of bulk strings at `start`, or INCOMPLETE.

    If `allow_null` is true, an item may also be the null bulk string.  Raise FrameError if the bytes are
    malformed or exceed a limit: `max_items` items, `max_item_bytes` per item or `max_array_bytes` in all.
    """
    find = data.find
    max_position = start + max_array_bytes
    header_end = find(TERMINATOR, start, start + MAX_HEADER_BYTES)
    digits = data[start + 1 : header_end]
    if header_end < 0 or data[start] != ARRAY_TYPE_BYTE or not digits.isdigit():
        _check_incomplete_header(data, start, ARRAY_TYPE_BYTE)
        return INCOMPLETE
    count = int(digits)
    if count > max_items:
        raise FrameError("too many words")
    position = header_end + TERMINATOR_BYTES
    for _ in range(count):
        header_end = find(TERMINATOR, position, position + MAX_HEADER_BYTES)
        digits = data[position + 1 : header_end]
        if header_end < 0 or data[position] != BULK_STRING_TYPE_BYTE or not digits.isdigit():
            position = _find_null_end(data, position, header_end, allow_null)
            if position < 0:
                return INCOMPLETE
            continue
        size = int(digits)
        position = header_end + TERMINATOR_BYTES + size
        if size > max_item_bytes or position > max_position:
            raise FrameError("value too large")
        terminator = data[position : position + TERMINATOR_BYTES]
        if terminator != TERMINATOR:
            _check_incomplete_terminator(terminator)
            return INCOMPLETE
        position += TERMINATOR_BYTES
    return position


def _find_null_end(data: bytes | bytearray, start: int, header_end: int, allow_null: bool) -> int:
    """Return the index after a null bulk string, or INCOMPLETE if the item's header is incomplete.

    Raise FrameError if the item at `start` has no valid header.
    """
    if allow_null and NULL_BULK_STRING.startswith(bytes(data[start : start + len(NULL_BULK_STRING)])):
        return INCOMPLETE if header_end < 0 else header_end + TERMINATOR_BYTES
    _check_incomplete_header(data, start, BULK_STRING_TYPE_BYTE)
    return INCOMPLETE


def _check_incomplete_header(data: bytes | bytearray, start: int, type_byte: int) -> None:
    """Raise FrameError unless the bytes from `start` on are the beginning of a valid header."""
    text, _, rest = data[start : start + MAX_HEADER_BYTES].partition(b"\r")
    digits = text[1:]
    if text and text[0] != type_byte:
        raise FrameError("not an array of bulk strings")
    if digits[:1] == b"-":
        raise FrameError("broken frame: a length below nothing")
    if (digits and not digits.isdigit()) or rest not in (b"", b"\n"):
        raise FrameError("broken frame: a length that is no number")
    if len(data) - start >= MAX_HEADER_BYTES or rest:
        raise FrameError("broken frame: a length too large or none")


def _check_incomplete_terminator(terminator: bytes | bytearray) -> None:
    """Raise FrameError unless the bytes are the beginning of an item's terminator."""
    if not TERMINATOR.startswith(bytes(terminator)):
        raise FrameError("broken frame: a length that does not fit")
