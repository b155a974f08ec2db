"""The ids of open requests: their answers are not written yet."""

from __future__ import annotations

MAX_RESERVED_IDS = 4096  # bounds the memory; further waiting requests have no reservation
EXECUTED = 0  # in place of a connection's number, which is positive


class OpenRequestIds:
    """The ids of requests that were executed and not answered, and of some that wait to be executed."""

    __slots__ = ("_connection_numbers", "_reserved_count")

    def __init__(self) -> None:
        """Create a collection without ids."""
        # By id, the number of the connection whose request waits to be executed, or EXECUTED.
        self._connection_numbers: dict[bytes, int] = {}
        self._reserved_count = 0

    def __len__(self) -> int:
        return len(self._connection_numbers)

    def __contains__(self, client_request_id: bytes) -> bool:
        return client_request_id in self._connection_numbers

    def open(self, client_request_id: bytes) -> None:
        """Add the id of a request that is executed now."""
        self._connection_numbers[client_request_id] = EXECUTED

    def close(self, client_request_id: bytes) -> None:
        """Remove the id of a request whose answer was written, or whose client has left."""
        del self._connection_numbers[client_request_id]

    def reserve(self, client_request_id: bytes, connection_number: int) -> bool:
        """Add the id of a request that waits on the connection; return False if it was not possible."""
        if client_request_id in self._connection_numbers or self._reserved_count >= MAX_RESERVED_IDS:
            return False
        self._connection_numbers[client_request_id] = connection_number
        self._reserved_count += 1
        return True

    def release(self, client_request_id: bytes, connection_number: int) -> None:
        """Remove an id that was reserved for the connection."""
        if self._connection_numbers.get(client_request_id) == connection_number:
            del self._connection_numbers[client_request_id]
            self._reserved_count -= 1
