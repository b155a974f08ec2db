"""The ids of requests that may have run, and whose clients left before the answer."""

from __future__ import annotations

from collections import OrderedDict

LIFETIME_S = 30.0  # longer than any client waits and than any deduplication window
MAX_IDS = 4096  # bounds the memory: an id has up to 128 bytes


class AbandonedRequestIds:
    """The latest abandoned ids; all times are on one clock, in seconds."""

    __slots__ = ("_expiry_by_id",)

    def __init__(self) -> None:
        """Create an empty collection."""
        self._expiry_by_id: OrderedDict[bytes, float] = OrderedDict()  # the earliest expiry first

    def __len__(self) -> int:
        return len(self._expiry_by_id)

    def add(self, client_request_id: bytes, now: float) -> None:
        """Add an id; the oldest ones make room for it."""
        self._drop_expired(now)
        self._expiry_by_id[client_request_id] = now + LIFETIME_S
        self._expiry_by_id.move_to_end(client_request_id)
        if len(self._expiry_by_id) > MAX_IDS:
            self._expiry_by_id.popitem(last=False)

    def contains(self, client_request_id: bytes, now: float) -> bool:
        """Return whether the id was added within its lifetime."""
        expiry = self._expiry_by_id.get(client_request_id)
        return expiry is not None and now < expiry

    def _drop_expired(self, now: float) -> None:
        while self._expiry_by_id and next(iter(self._expiry_by_id.values())) <= now:
            self._expiry_by_id.popitem(last=False)
