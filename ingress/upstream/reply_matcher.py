"""Matching of replies to commands on one connection, whose replies carry no ids.

A backend may send a reply a second time.  The copy may arrive after the next command was written, however
long the connection rested before, and would pass for the reply to that command.  But it repeats an earlier
reply of the connection.  A repeated reply is therefore held until the backend has answered a PING that is
written behind the command.  Replies follow the order of the commands: if the reply to the PING comes next,
the held reply belongs to the command; if another reply comes before it, the held one was a duplicate.
"""

from __future__ import annotations

from collections import deque

from ingress.upstream.replies import BackendReply

MAX_REMEMBERED_REPLIES = 16  # per connection
FINGERPRINT_BYTES = 256  # at each end of a value; replies that differ only between count as repeated


class ReplyMatcher:
    """Tells the reply to the command in flight from duplicates of earlier replies on the connection."""

    __slots__ = ("_fingerprints", "duplicate_count", "held_reply")

    def __init__(self) -> None:
        """Create a matcher for a connection without earlier replies."""
        self.held_reply: BackendReply | None = None  # a repeated reply that waits for the reply to a PING
        self.duplicate_count = 0  # duplicates that were dropped
        self._fingerprints: deque[int] = deque(maxlen=MAX_REMEMBERED_REPLIES)

    @property
    def has_history(self) -> bool:
        """Whether the connection has carried a reply, of which a duplicate may come."""
        return bool(self._fingerprints)

    def match(self, reply: BackendReply) -> BackendReply | None:
        """Return the reply if it certainly belongs to the command in flight; else hold it and return None.

        A reply that was held before is dropped as a duplicate.
        """
        if self.held_reply is not None:
            self.duplicate_count += 1
        if _compute_fingerprint(reply) in self._fingerprints:
            self.held_reply = reply
            return None
        self.held_reply = None
        return reply

    def confirm_held_reply(self) -> BackendReply | None:
        """Return the held reply, if any, now that the backend has answered the PING behind the command."""
        reply = self.held_reply
        self.held_reply = None
        return reply

    def remember(self, reply: BackendReply) -> None:
        """Remember the reply to the command in flight, so that a duplicate of it is recognized."""
        self._fingerprints.append(_compute_fingerprint(reply))


def _compute_fingerprint(reply: BackendReply) -> int:
    """Return a number that is equal for equal outcomes and values; the load reports may differ."""
    value = reply.value
    if value is None:
        return hash(reply.outcome)
    return hash((reply.outcome, len(value), value[:FINGERPRINT_BYTES], value[-FINGERPRINT_BYTES:]))
