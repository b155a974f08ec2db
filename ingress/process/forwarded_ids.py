"""The ids of requests that may have run, which must not run again for another client."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import inf

LIFETIME_S = 30.0  # longer than any client waits and than any deduplication window
MAX_IDS = 4096  # bounds the memory: an id has up to 128 bytes


@dataclass(slots=True)
class _ForwardedRequest:
    expires_at: float
    connection_number: int  # of its client


class ForwardedRequestIds:
    """The latest ids for which an attempt was made; all times are on one clock, in seconds."""

    __slots__ = ("_earliest_expiry", "_requests")

    def __init__(self) -> None:
        """Create an empty collection."""
        self._requests: OrderedDict[bytes, _ForwardedRequest] = OrderedDict()  # the earliest expiry first
        self._earliest_expiry = inf

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, client_request_id: bytes, connection_number: int, now: float) -> None:
        """Add the id of a request that came on the connection; the oldest ones make room for it."""
        if now >= self._earliest_expiry:
            self._drop_expired(now)
        self._earliest_expiry = min(self._earliest_expiry, now + LIFETIME_S)
        self._requests[client_request_id] = _ForwardedRequest(now + LIFETIME_S, connection_number)
        self._requests.move_to_end(client_request_id)
        if len(self._requests) > MAX_IDS:
            self._requests.popitem(last=False)

    def belongs_to_other(self, client_request_id: bytes, connection_number: int, now: float) -> bool:
        """Return whether the id was added within its lifetime, for a request on another connection.

        A client may use the id of an answered request again on the same connection.
        """
        request = self._requests.get(client_request_id)
        if request is None or now >= request.expires_at:
            return False
        return request.connection_number != connection_number

    def _drop_expired(self, now: float) -> None:
        self._earliest_expiry = inf
        while self._requests:
            earliest = next(iter(self._requests.values())).expires_at
            if earliest > now:
                self._earliest_expiry = earliest
                return
            self._requests.popitem(last=False)
