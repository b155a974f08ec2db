"""Replies of backends: find the end of a reply, interpret it, and read the load report in it, if any.

A reply is either an array of three items (a value, figures that are not used here, and a load report) or one
error line: `-BUSY [load report]` or `-ERR failed [load report]`.  The reply to a PING is `+PONG` or any other
error line.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from ingress.interface import Outcome
from ingress.network.array_parser import SHARED_PARSER
from ingress.network.frames import INCOMPLETE, FrameError, find_array_end
from ingress.settings_codec import LOAD_REPORT_FIELDS

MAX_VALUE_BYTES = 1024 * 1024  # some values are far larger than the 64 KiB limit of commands
MAX_REPLY_BYTES = MAX_VALUE_BYTES + 8 * 1024  # the value, the figures and the load report together
MAX_ERROR_LINE_BYTES = 1024
MAX_LOGGED_BYTES = 80  # longest part of a malformed reply that is logged
REPLY_ITEM_COUNT = 3
PING_COMMAND = b"*1\r\n$4\r\nPING\r\n"
PONG_REPLY = b"+PONG\r\n"
KNOWN_LOAD_NAMES = frozenset(LOAD_REPORT_FIELDS.values())


class MalformedReplyError(FrameError):
    """A complete frame is not a valid reply of a backend."""


@dataclass(slots=True)
class BackendReply:
    """A reply of a backend."""

    outcome: Outcome  # OK, REJECTED or ERROR
    value: bytes | None  # None unless the outcome is OK
    load_report: dict[str, float]  # by the names of `LOAD_REPORT_FIELDS`; empty if the reply held none


def find_reply_end(data: bytes) -> int:
    """Return the index after the reply at the start of `data`, or INCOMPLETE if its end has not arrived.

    Raise FrameError if the bytes can't become a reply, or if it is too long.
    """
    if data[:1] != b"-":
        return find_array_end(data, 0, REPLY_ITEM_COUNT, MAX_VALUE_BYTES, MAX_REPLY_BYTES, allow_null=True)
    end = data.find(b"\r\n", 0, MAX_ERROR_LINE_BYTES)
    if end >= 0:
        return end + 2
    if len(data) >= MAX_ERROR_LINE_BYTES:
        raise FrameError("error line too long")
    return INCOMPLETE


def find_ping_reply_end(data: bytes) -> int:
    """Return the index after a `+PONG` at the start of `data`, or 0 if `data` starts otherwise.

    Return INCOMPLETE if the end of the `+PONG` has not arrived.
    """
    if data.startswith(PONG_REPLY):
        return len(PONG_REPLY)
    return INCOMPLETE if data and PONG_REPLY.startswith(data) else 0


def is_ping_error(frame: bytes) -> bool:
    """Return whether a complete frame is an error line that only a PING can have caused."""
    return frame[:1] == b"-" and _parse_error_line(frame) is None


def parse_reply(frame: bytes) -> BackendReply:
    """Interpret one complete reply.

    Raise MalformedReplyError if the frame is not a valid reply.
    """
    if frame[:1] == b"*":
        return _parse_value_reply(frame)
    reply = _parse_error_line(frame)
    if reply is None:
        raise MalformedReplyError(f"{frame[:MAX_LOGGED_BYTES]!r}")
    return reply


def _parse_error_line(frame: bytes) -> BackendReply | None:
    """Return the reply in a complete error line, or None if the line is not a valid reply to a request."""
    kind, _, rest = frame[1:-2].partition(b" ")
    if kind == b"BUSY":
        return BackendReply(Outcome.REJECTED, None, read_load_report(rest))
    if kind == b"ERR" and rest.partition(b" ")[0] == b"failed":
        return BackendReply(Outcome.ERROR, None, read_load_report(rest.rpartition(b" ")[2]))
    return None


def _parse_value_reply(frame: bytes) -> BackendReply:
    try:
        items = SHARED_PARSER.parse(frame)
    except FrameError as error:
        raise MalformedReplyError(str(error)) from error
    if len(items) != REPLY_ITEM_COUNT or items[0] is None:
        raise MalformedReplyError("expected a value, figures and a load report")
    return BackendReply(Outcome.OK, items[0], read_load_report(items[2]))


def read_load_report(text: bytes | None) -> dict[str, float]:
    """Return the known figures of a load report `name=figure,...` by the names of `LOAD_REPORT_FIELDS`.

    Omit figures with an unknown name, and figures that are negative, infinite or not a number, so that the
    decision module gets usable figures only.
    """
    report: dict[str, float] = {}
    if not text:
        return report
    for part in text.decode("ascii", "replace").split(","):
        wire_name, _, figure = part.partition("=")
        name = LOAD_REPORT_FIELDS.get(wire_name, wire_name)
        try:
            load = float(figure)
        except ValueError:
            continue
        if name in KNOWN_LOAD_NAMES and 0 <= load < inf:
            report[name] = load
    return report
