"""The requests in flight, which the decision module has received and not finished."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from ingress.downstream.commands import Command
from ingress.downstream.request_handler import PendingReply
from ingress.upstream.attempt import Attempt

REQUEST_OVERHEAD_BYTES = 2048  # memory of a request in flight in addition to its command


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """One request in flight."""

    key: str
    """The id by which the decision module knows the request."""
    reply: PendingReply
    command: Command
    deadline: float
    """Time on the ingress's clock at which the client stops waiting."""
    size_bytes: int
    """Estimated memory of the request."""
    requested_attempt_count: int = 0
    """Number of attempts that the decision module has asked for, including refused ones."""
    is_answered: bool = False
    """Whether the request has its final answer or its client has disconnected."""
    attempt: Attempt | None = None
    """The attempt in flight, if any; there is never more than one."""
    deadline_timer: asyncio.TimerHandle | None = None
    """The timer that enforces a final answer shortly before the deadline."""


class InFlightRequests:
    """The table of requests in flight, limited by their number and their bytes."""

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self.max_requests = max_requests
        self.max_bytes = max_bytes
        self.buffered_bytes = 0  # estimated memory of the requests in flight
        self._requests: dict[str, InFlightRequest] = {}
        self._added_count = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[InFlightRequest]:
        return iter(self._requests.values())

    @property
    def is_full(self) -> bool:
        """Whether the limits allow no further request."""
        return len(self._requests) >= self.max_requests or self.buffered_bytes > self.max_bytes

    def get(self, key: str) -> InFlightRequest | None:
        """Return the request with this key, or None if it is not in flight."""
        return self._requests.get(key)

    def add(self, reply: PendingReply, command: Command, deadline: float) -> InFlightRequest:
        """Add a request under a new key, since clients may reuse the id of an answered request."""
        self._added_count += 1
        key = str(self._added_count)
        size_bytes = REQUEST_OVERHEAD_BYTES + sum(map(len, command.arguments))
        request = InFlightRequest(key, reply, command, deadline, size_bytes)
        reply.request_key = key
        self._requests[key] = request
        self.buffered_bytes += size_bytes
        return request

    def remove(self, key: str) -> None:
        """Remove the request if it is in flight."""
        request = self._requests.pop(key, None)
        if request is not None:
            self.buffered_bytes -= request.size_bytes
