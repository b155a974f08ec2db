"""The calls of the counter's line protocol."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_LIFETIME_S = 60.0  # longer lifetimes are reduced to this
MAX_AMOUNT = 1e9  # the largest amount, of either sign, that one call may add
ADD_PATTERN = re.compile(rb"add ([!-~]{1,64}) (-?[0-9.]+(?:[eE][-+]?[0-9]+)?) ([0-9]{1,9})")


@dataclass(frozen=True, slots=True)
class AddCall:
    """A call that adds an amount to the total of a name."""

    name: bytes
    amount: float
    lifetime_s: float
    """How long the name is kept if the call creates it."""


class CounterCallError(ValueError):
    """The line is not a valid call of the protocol."""


def parse_add(line: bytes) -> AddCall:
    """Parse `add NAME AMOUNT LIFETIME_MS`; raise CounterCallError if the line is anything else."""
    match = ADD_PATTERN.fullmatch(line)
    if match is None:
        raise CounterCallError("the line is not an add call")
    try:
        amount = float(match[2])
    except ValueError:
        raise CounterCallError("the amount is not a number") from None
    lifetime_ms = int(match[3])
    if not abs(amount) <= MAX_AMOUNT or lifetime_ms < 1:
        raise CounterCallError("the amount or the lifetime is out of range")
    return AddCall(match[1], amount, min(lifetime_ms / 1000, MAX_LIFETIME_S))
