"""Why client connections end."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """Why a client connection ended."""

    CLIENT_LEFT = "connection_closed.client_left"
    """The client closed or reset it, or its network failed."""
    MALFORMED_INPUT = "connection_closed.malformed_input"
    """Its input could not be parsed."""
    PARTIAL_COMMAND_TIMEOUT = "connection_closed.partial_command_timeout"
    """The rest of a command did not come in time."""
    INPUT_LIMIT = "connection_closed.input_limit"
    """An incomplete command was rejected to keep the memory for unprocessed input within its limit."""
    READ_TIMEOUT = "connection_closed.read_timeout"
    """The client did not read its replies in time."""
    IDLE = "connection_closed.idle"
    """No command came for the idle timeout, or the listener drains."""
    EVICTED = "connection_closed.evicted"
    """It made room for a new connection."""
