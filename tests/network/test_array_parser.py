"""The parser that all connections share."""

from __future__ import annotations

import pytest

from ingress.network.array_parser import ArrayParser
from ingress.network.frames import FrameError


def test_items_of_an_array_are_returned() -> None:
    parser = ArrayParser()
    assert parser.parse(b"*2\r\n$1\r\na\r\n$-1\r\n") == [b"a", None]
    assert parser.parse(b"*0\r\n") == []


@pytest.mark.parametrize(
    "frame", [b"*1\r\n$1\r\na", b"*1\r\n$01\r\na\r\n", b"*1\r\n$1\r\na\r\n*1\r\n$1\r\nb\r\n", b"+OK\r\n"]
)
def test_nothing_of_a_malformed_frame_is_left_for_the_next(frame: bytes) -> None:
    """Guards against bytes of one connection in the values of another."""
    parser = ArrayParser()
    with pytest.raises(FrameError):
        parser.parse(frame)
    assert parser.parse(b"*1\r\n$1\r\nc\r\n") == [b"c"]
