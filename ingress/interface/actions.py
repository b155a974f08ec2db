"""The actions that the decision module returns and its host carries out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Forward a request to a backend."""

    id: str
    """The request's id."""
    backend: str
    """Id of the backend."""
    timeout: float = 0.0
    """Seconds after which the host gives up the attempt; 0: it waits until the client's deadline."""
    max_write_delay: float = 0.0
    """Seconds within which the host must write the attempt to a connection, or not send it; 0: no limit."""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Give up an attempt that is in flight."""

    id: str
    """The request's id."""
    attempt: int
    """Number of the attempt, from 0."""


@dataclass(frozen=True, slots=True)
class Reject:
    """Send the final answer "rejected".

    The answer guarantees to the client that a retry is safe: the request was not executed, or is idempotent.
    """

    id: str
    """The request's id."""
    retry_after: float = 0.0
    """Seconds that the client should wait before a retry; 0: unknown."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Send the final answer "failed", which leaves open whether the request was executed."""

    id: str
    """The request's id."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Pass a `TimerFired` event with the same token to the gateway after a delay."""

    delay: float
    """Seconds until the timer fires."""
    token: int
    """Identifies the timer in its `TimerFired` event."""


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Send a health check to a backend."""

    backend: str
    """Id of the backend."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to a backend."""

    backend: str
    """Id of the backend."""


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a gossip message to one other gateway or to all of them."""

    text: str
    """The message; at most 256 bytes."""
    peer_index: int | None = None
    """Index of the gateway that receives the message; None: all other gateways."""


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add an amount to a count of the shared counter; the `CounterReply` contains the count's total."""

    name: int
    """Name of the count."""
    add: float
    """The amount to add."""
    lifetime: float
    """Seconds after which the counter deletes the count, if this call creates it."""


@dataclass(frozen=True, slots=True)
class SubscribeEndpoints:
    """Begin or end the watch on the endpoint list."""

    is_enabled: bool = True
    """Whether the watch begins; False ends it."""


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the endpoint list once."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str
    """The line, without its line end."""


Action: TypeAlias = (
    SendAttempt
    | CancelAttempt
    | Reject
    | Fail
    | SetTimer
    | SendHealthCheck
    | CloseIdleConnections
    | SendGossip
    | IncrementCounter
    | SubscribeEndpoints
    | FetchEndpoints
    | LogMessage
)
