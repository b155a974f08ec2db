"""Encode and decode the gossip messages in which gateways report their customers' usage to each other.

A message is a line of text, for example `1733115600123 5be2a07c:40 1f03aa5c:125`.  It holds the time at which
the sender's process started (Unix ms) and, for each customer, the hash of the customer's key and the running
total of the customer's usage since then, in tenths of a unit.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

MAX_TEXT_BYTES = 250  # the host sends messages of at most 256 bytes
TENTHS_PER_UNIT = 10  # totals are encoded as whole tenths of a unit


@dataclass(frozen=True, slots=True)
class UseReport:
    """A decoded message."""

    incarnation: int
    """Time at which the sender's process started, in Unix milliseconds."""
    totals: tuple[tuple[int, float], ...]
    """Pairs of a customer's hash and the units that the customer has used since the process started."""


class EncodedReport(NamedTuple):
    """An encoded message."""

    text: str
    included_count: int
    """Number of totals that the text holds."""


def decode_report(text: str) -> UseReport | None:
    """Decode a message; return None if it is malformed."""
    try:
        incarnation, *items = text.split()
        pairs = [item.split(":") for item in items]
        totals = tuple(
            (int(customer_hash, 16), int(total) / TENTHS_PER_UNIT) for customer_hash, total in pairs
        )
        return UseReport(int(incarnation), totals)
    except ValueError:
        return None


def encode_report(incarnation: int, totals: Iterable[tuple[int, float]]) -> EncodedReport:
    """Encode as many of the totals, in the given order, as fit into one message.

    `incarnation` is the time at which this process started, in Unix milliseconds.  Each total is a pair of a
    customer's hash and the units that the customer has used.
    """
    text = str(incarnation)
    included_count = 0
    for customer_hash, total in totals:
        item = f" {customer_hash:x}:{round(total * TENTHS_PER_UNIT)}"
        if len(text) + len(item) > MAX_TEXT_BYTES:
            break
        text += item
        included_count += 1
    return EncodedReport(text, included_count)
