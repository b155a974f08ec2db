"""The counter's line protocol.

A call is the line `add <name> <amount> <lifetime in ms>`.  The counter sends one reply line for each call, in
the order of the calls: `ok <total>`, `busy` (nothing was added; the client may try again later) or `error`
(the call is invalid).
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass

from ingress.interface import Outcome
from ingress.network.errors import ProtocolError

MAX_REPLY_LINE_BYTES = 256
MIN_LIFETIME_MS = 1
MAX_LIFETIME_MS = 60_000
MAX_LOGGED_BYTES = 40  # longest part of a malformed line that is logged
OK_REPLY_PATTERN = re.compile(rb"ok (-?[0-9]{1,18}(?:\.[0-9]{1,18})?(?:[eE][-+]?[0-9]{1,2})?)")


class MalformedCounterReplyError(ProtocolError):
    """The line is not a valid reply; no later line on the connection can be trusted."""


@dataclass(slots=True, eq=False)
class CounterCall:
    """One call, from the decision module's `IncrementCounter` action to the `CounterReply` event."""

    name: int  # name of the count to add to
    line: bytes  # encoded call
    started_at: float  # time of the call in seconds, on the client's clock
    is_reported: bool = False  # whether the `CounterReply` was reported
    timer: asyncio.TimerHandle | None = None  # fires at the call's timeout


@dataclass(slots=True)
class ParsedReply:
    """The counter's reply to one call."""

    outcome: Outcome  # OK or REJECTED
    total: float = 0.0  # value of the count after the call, if the outcome is OK
    is_error: bool = False  # whether the counter rejected the call as invalid


BUSY_REPLY = ParsedReply(Outcome.REJECTED)
ERROR_REPLY = ParsedReply(Outcome.REJECTED, is_error=True)


def encode_add(name: int, amount: float, lifetime_s: float) -> bytes:
    """Return the line of a call; the lifetime is limited to the range that the counter accepts."""
    lifetime_ms = min(max(MIN_LIFETIME_MS, round(lifetime_s * 1000)), MAX_LIFETIME_MS)
    return b"add %d %s %d\r\n" % (name, _encode_amount(amount), lifetime_ms)


def parse_reply_line(line: bytes) -> ParsedReply:
    """Parse one line without its terminator.  Raise MalformedCounterReplyError if it is not a valid reply."""
    if ok_match := OK_REPLY_PATTERN.fullmatch(line):
        return ParsedReply(Outcome.OK, float(ok_match[1]))
    if line == b"busy":
        return BUSY_REPLY
    if line == b"error":
        return ERROR_REPLY
    raise MalformedCounterReplyError(f"{line[:MAX_LOGGED_BYTES]!r}")


def _encode_amount(amount: float) -> bytes:
    """Return a decimal number without an exponent and without trailing zeros."""
    text = f"{amount:.6f}".rstrip("0").rstrip(".")
    return b"0" if text in ("", "-0") else text.encode()
