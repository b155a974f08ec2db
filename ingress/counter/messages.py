"""The counter's line protocol: a call is `add <name> <amount> <lifetime in ms>`; answers come in order.

An answer is `ok <total>`, `busy` (nothing was added; the client may try again later) or `error` (the call is
invalid).
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
MAX_LOGGED_BYTES = 40  # of a malformed line
OK_ANSWER_PATTERN = re.compile(rb"ok (-?[0-9]{1,18}(?:\.[0-9]{1,18})?(?:[eE][-+]?[0-9]{1,2})?)")


class MalformedCounterReplyError(ProtocolError):
    """The line is not a valid answer; no later line on the connection can be trusted."""


@dataclass(slots=True, eq=False)
class CounterCall:
    """One call, from the decision module's `IncrementCounter` action to the `CounterReply` event."""

    name: int  # name of the counter to add to
    line: bytes  # encoded call
    started_at: float  # s, on the client's clock
    is_reported: bool = False  # whether the `CounterReply` was passed on
    timer: asyncio.TimerHandle | None = None  # runs until the call's time-out


@dataclass(slots=True)
class CounterAnswer:
    """The counter's answer to one call."""

    outcome: Outcome  # OK or REJECTED
    total: float = 0.0  # value of the counter after the call, if the outcome is OK
    is_error: bool = False  # whether the counter found the call invalid


BUSY_ANSWER = CounterAnswer(Outcome.REJECTED)
ERROR_ANSWER = CounterAnswer(Outcome.REJECTED, is_error=True)


def encode_add(name: int, amount: float, lifetime_s: float) -> bytes:
    """Return the line of a call; the lifetime is limited to the range that the counter accepts."""
    lifetime_ms = min(max(MIN_LIFETIME_MS, round(lifetime_s * 1000)), MAX_LIFETIME_MS)
    return b"add %d %s %d\r\n" % (name, _encode_amount(amount), lifetime_ms)


def parse_answer(line: bytes) -> CounterAnswer:
    """Parse one line without its terminator.  Raise MalformedCounterReplyError if it is no answer."""
    if ok_match := OK_ANSWER_PATTERN.fullmatch(line):
        return CounterAnswer(Outcome.OK, float(ok_match[1]))
    if line == b"busy":
        return BUSY_ANSWER
    if line == b"error":
        return ERROR_ANSWER
    raise MalformedCounterReplyError(f"{line[:MAX_LOGGED_BYTES]!r}")


def _encode_amount(amount: float) -> bytes:
    """Return a decimal number without an exponent and without trailing zeros."""
    text = f"{amount:.6f}".rstrip("0").rstrip(".")
    return b"0" if text in ("", "-0") else text.encode()
