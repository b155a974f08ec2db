"""Requests that wait in the input buffer of a connection to be executed.

They wait for their slice of the event loop, or for room in a full pipeline.
"""

from __future__ import annotations

from collections import deque

from ingress.downstream.command_buffer import CommandBuffer
from ingress.downstream.command_executor import REQUEST_VERBS
from ingress.downstream.request_handler import RequestHandler

REQUEST_ID_INDEX = 2  # in the arguments of a request
MAX_EXAMINED_COMMANDS = 128  # at once, as other connections wait meanwhile
MAX_RESERVED_IDS = 256  # per connection


class WaitingRequests:
    """Reserves the ids of waiting requests, which are open for their client before they are executed."""

    __slots__ = ("_buffer", "_connection_number", "_handler", "_reserved_ids")

    def __init__(self, handler: RequestHandler, connection_number: int, buffer: CommandBuffer) -> None:
        """Create the state of a connection where no request waits."""
        self._handler = handler
        self._connection_number = connection_number
        self._buffer = buffer
        self._reserved_ids: deque[bytes] = deque()  # in the order of the commands

    def reserve_ids(self) -> None:
        """Reserve the ids of some requests in the buffer that were not examined before."""
        for _ in range(MAX_EXAMINED_COMMANDS):
            if len(self._reserved_ids) >= MAX_RESERVED_IDS:
                return
            arguments = self._buffer.peek_command()
            if arguments is None:
                return
            request_id = _get_request_id(arguments)
            if request_id and self._handler.reserve_id(request_id, self._connection_number):
                self._reserved_ids.append(request_id)

    def release_id(self, arguments: list[bytes]) -> None:
        """Release the id of a command that is executed now, if it was reserved."""
        if self._reserved_ids and self._reserved_ids[0] == _get_request_id(arguments):
            self._handler.release_id(self._reserved_ids.popleft(), self._connection_number)

    def release_all(self) -> None:
        """Release all ids, since the requests will not be executed."""
        while self._reserved_ids:
            self._handler.release_id(self._reserved_ids.popleft(), self._connection_number)


def _get_request_id(arguments: list[bytes]) -> bytes:
    """Return the id of a request, or no bytes for another command."""
    if len(arguments) <= REQUEST_ID_INDEX or arguments[0].upper() not in REQUEST_VERBS:
        return b""
    return arguments[REQUEST_ID_INDEX]
