"""Tests of framing: the end of an array, incomplete arrays, and rejection of malformed ones."""

from __future__ import annotations

import pytest

from ingress.network.frames import INCOMPLETE, FrameError, find_array_end

ARRAY = b"*2\r\n$2\r\nab\r\n$0\r\n\r\n"
ARRAY_WITH_NULL = b"*2\r\n$-1\r\n$2\r\nab\r\n"
MAX_ITEMS = 3
MAX_ITEM_BYTES = 8
MAX_ARRAY_BYTES = 30


def find_end(data: bytes | bytearray, start: int = 0, allow_null: bool = False) -> int:
    return find_array_end(data, start, MAX_ITEMS, MAX_ITEM_BYTES, MAX_ARRAY_BYTES, allow_null)


@pytest.mark.parametrize("buffer_type", [bytes, bytearray])
@pytest.mark.parametrize(
    ("frame", "allow_null"), [(ARRAY, False), (ARRAY_WITH_NULL, True), (b"*0\r\n", False)]
)
def test_array_is_incomplete_until_its_last_byte_arrives(
    buffer_type: type[bytes] | type[bytearray], frame: bytes, allow_null: bool
) -> None:
    for size in range(len(frame)):
        assert find_end(buffer_type(frame[:size]), allow_null=allow_null) == INCOMPLETE
    assert find_end(buffer_type(frame + b"*1\r\n"), allow_null=allow_null) == len(frame)


def test_end_of_an_array_that_follows_another() -> None:
    assert find_end(ARRAY + ARRAY, len(ARRAY)) == 2 * len(ARRAY)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"+OK\r\n", "not an array of bulk strings"),
        (b"*1\r\n+", "not an array of bulk strings"),
        (b"*4\r\n", "too many words"),
        (b"*-1\r\n", "broken frame: a length below nothing"),
        (b"*1\r\n$-1\r\n", "broken frame: a length below nothing"),
        (b"*x", "broken frame: a length that is no number"),
        (b"*1\rx", "broken frame: a length that is no number"),
        (b"*\r\n", "broken frame: a length too large or none"),
        (b"*" + b"1" * 15, "broken frame: a length too large or none"),
        (b"*1\r\n$9\r\n", "value too large"),
        (b"*3\r\n$8\r\n12345678\r\n$8\r\n12345678\r\n$1\r\n", "value too large"),
        (b"*1\r\n$2\r\nabc", "broken frame: a length that does not fit"),
    ],
)
def test_malformed_or_too_large_input_is_rejected_as_soon_as_it_arrives(data: bytes, message: str) -> None:
    with pytest.raises(FrameError) as error_info:
        find_end(data)
    assert str(error_info.value) == message


def test_null_bulk_string_with_a_wrong_length_is_rejected() -> None:
    with pytest.raises(FrameError):
        find_end(b"*1\r\n$-2\r\n", allow_null=True)
