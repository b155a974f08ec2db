"""Tests of reading replies: the end of a reply, its outcome and value, and its load report."""

from __future__ import annotations

import pytest

from ingress.interface import Outcome
from ingress.upstream.replies import (
    BackendReply,
    MalformedReplyError,
    find_reply_end,
    parse_reply,
    read_load_report,
)


def test_reply_end_is_incomplete_until_the_last_byte_arrives() -> None:
    complete_reply = b"*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r\n"
    assert [find_reply_end(complete_reply[:size]) for size in range(len(complete_reply))] == [-1] * len(
        complete_reply
    )
    assert find_reply_end(complete_reply + b"*") == len(complete_reply)
    error_line = b"-ERR failed\r\n"
    assert [find_reply_end(error_line[:size]) for size in range(len(error_line))] == [-1] * len(error_line)


@pytest.mark.parametrize(
    ("text", "load"),
    [
        (b"inflight=7,queue=2", {"inflight": 7.0, "queue": 2.0}),
        (b"inflight=x,queue=2", {"queue": 2.0}),
        (b"inflight=nan,util=inf,queue=-1,qps=3", {"qps": 3.0}),
        (b"what=1,__class__=2", {}),
        (b"\xff\xfe", {}),
        (b"", {}),
        (None, {}),
        (b"cpu=0.5", {"util": 0.5}),
    ],
)
def test_load_report_omits_unusable_figures(text: bytes | None, load: dict[str, float]) -> None:
    assert read_load_report(text) == load


@pytest.mark.parametrize(
    ("frame", "reply"),
    [
        (
            b"*3\r\n$2\r\nok\r\n$1\r\n4\r\n$10\r\ninflight=7\r\n",
            BackendReply(Outcome.OK, b"ok", {"inflight": 7.0}),
        ),
        (b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", BackendReply(Outcome.OK, b"", {})),
        (b"-BUSY\r\n", BackendReply(Outcome.REJECTED, None, {})),
        (b"-BUSY queue=2\r\n", BackendReply(Outcome.REJECTED, None, {"queue": 2.0})),
        (b"-ERR failed\r\n", BackendReply(Outcome.ERROR, None, {})),
        (
            b"-ERR failed inflight=7,queue=2\r\n",
            BackendReply(Outcome.ERROR, None, {"inflight": 7.0, "queue": 2.0}),
        ),
    ],
)
def test_complete_reply_is_interpreted(frame: bytes, reply: BackendReply) -> None:
    assert parse_reply(frame) == reply


@pytest.mark.parametrize(
    "frame",
    [
        b"*0\r\n",
        b"*1\r\n$1\r\nx\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"-SYNTAX\r\n",
        b"-ERR what\r\n",
        b"-\r\n",
    ],
)
def test_complete_frame_that_is_no_reply_raises_an_error(frame: bytes) -> None:
    with pytest.raises(MalformedReplyError):
        parse_reply(frame)
