"""The replies of one client connection that are not written yet."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ingress.downstream.request_handler import PendingReply, ReplyWriter


class ReplyQueue(deque[PendingReply]):
    """Pending replies in the order of their commands, in which they are written."""

    __slots__ = ("_writer",)

    def __init__(self, writer: ReplyWriter) -> None:
        """Create an empty queue of the connection `writer`."""
        super().__init__()
        self._writer = writer

    def add(self) -> PendingReply:
        """Add the pending reply of the next command."""
        reply = PendingReply(self._writer)
        self.append(reply)
        return reply

    def take_ready(self) -> bytes:
        """Remove the replies that are known and have none before them that is not; return their bytes."""
        ready = []
        while self and (data := self[0].data) is not None:
            self.popleft().close()
            ready.append(data)
        return ready[0] if len(ready) == 1 else b"".join(ready)

    def abandon(self, on_abandoned: Callable[[PendingReply], None]) -> None:
        """Close all replies; before, pass each unknown one to `on_abandoned`, and ignore its later answer."""
        pending = list(self)
        self.clear()
        for reply in pending:
            if reply.data is None:
                reply.data = b""  # makes `PendingReply.answer` ignore a later answer
                on_abandoned(reply)
            reply.close()
