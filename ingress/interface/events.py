"""The events that a host passes to the decision module."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from ingress.interface.endpoints import Backend, EndpointUpdateKind


class Outcome(Enum):
    """How an attempt, a health check or a call to the shared counter ended."""

    OK = "ok"
    """The backend or the counter answered without an error."""
    ERROR = "error"
    """The backend or the counter answered with an error, but may have executed the request."""
    REJECTED = "full"
    """The backend or the counter rejected the request without executing it."""
    TIMEOUT = "timeout"
    """No answer came in time; the request may have been executed or may still be executed."""
    CONNECT_FAILED = "connect_failed"
    """No connection was established, or it closed before the attempt was completely written."""
    RESET = "reset"
    """The connection closed after the attempt was completely written and before the answer came."""
    CANCELLED = "cancelled"
    """This gateway cancelled the attempt."""
    SUPERSEDED = "moot"
    """The attempt was not sent: it was no longer needed, or the host could not send it, or not in time."""

    @property
    def proves_not_executed(self) -> bool:
        """Return whether the outcome proves that the backend did not execute the request."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED)


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The endpoint list has changed or could not be fetched."""

    kind: EndpointUpdateKind
    """What `backends` contains."""
    backends: tuple[Backend, ...] = ()
    """The changed entries or the complete list, depending on `kind`."""
    version: int = 0
    """Version number that discovery gave the list."""


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request has arrived."""

    id: str
    """Identifies the request in later events and in actions."""
    request_class: str
    """Name of the request's class in the settings."""
    plan: str
    """Name of the customer's plan in the settings."""
    customer: str
    """Name of the customer whose quota the request uses."""
    remaining_time: float
    """Seconds that the client still waits for the answer."""
    units: float = 1.0
    """Units of the quota that the request uses."""
    assigned_instances: int = 1
    """Number of gateways that receive the customer's requests."""
    first_instance: int = 0
    """Index of the first of these gateways; the others have the next indices, wrapping around to 0."""
    is_client_retry: bool = False
    """Whether the client marked the request as a retry."""
    is_write: bool = False
    """Whether the request changes data."""


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A backend has begun to answer an attempt with a stream."""

    id: str
    """The request's id."""
    attempt: int
    """Number of the attempt, from 0."""
    backend: str
    """Id of the backend that the attempt was sent to."""
    latency: float = 0.0
    """Seconds since the attempt was sent."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended."""

    id: str
    """The request's id."""
    attempt: int
    """Number of the attempt, from 0."""
    backend: str
    """Id of the backend that the attempt was sent to."""
    outcome: Outcome
    latency: float = 0.0
    """Seconds since the attempt was sent."""
    finished: bool = False
    """Whether this outcome is the request's final answer, or the request already had one."""
    metered_usage: int = 0
    """Usage of the customer over all gateways, as the backends meter it.

    The value is 1 plus the usage in percent of the plan's rate; 0 if unknown.
    """
    settled_units: float = 0.0
    """Units that the request actually used; 0 if unknown."""
    load_report: Mapping[str, float] = field(default_factory=dict)
    """Load figures that the backend reported, by name."""


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The client has disconnected, or the host has answered the request itself."""

    id: str
    """The request's id."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the gateway set has fired."""

    token: int
    """The token of its `SetTimer` action."""


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check has ended."""

    backend: str
    """Id of the backend that was checked."""
    outcome: Outcome
    latency: float = 0.0
    """Seconds since the health check was sent."""
    load_report: Mapping[str, float] = field(default_factory=dict)
    """Load figures that the backend reported, by name."""


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A gossip message of another gateway has arrived."""

    sender_index: int
    """Index of the gateway that sent the message."""
    text: str
    """The message."""


@dataclass(frozen=True, slots=True)
class CounterReply:
    """A call to the shared counter has ended."""

    name: int
    """Name of the count that the call added to."""
    outcome: Outcome
    total: float = 0.0
    """Total of the count after the call."""
    latency: float = 0.0
    """Seconds since the call was made."""


Event: TypeAlias = (
    EndpointUpdate
    | Request
    | StreamStarted
    | AttemptEnded
    | RequestCancelled
    | TimerFired
    | HealthCheckEnded
    | GossipReceived
    | CounterReply
)
