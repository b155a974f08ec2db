"""The interface between the decision module and its hosts: settings, endpoints, events and actions.

A host (the real ingress, the simulator's adapter or the scale tool) passes events to a `Gateway` and carries
out the actions that it returns.  All of these are plain data; this package contains no decision logic.  Times
and durations are in seconds, rates in units per second.
"""

from ingress.interface.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    IncrementCounter,
    LogMessage,
    Reject,
    SendAttempt,
    SendGossip,
    SendHealthCheck,
    SetTimer,
    SubscribeEndpoints,
)
from ingress.interface.endpoints import Backend, EndpointUpdateKind, Readiness
from ingress.interface.events import (
    AttemptEnded,
    CounterReply,
    EndpointUpdate,
    Event,
    GossipReceived,
    HealthCheckEnded,
    Outcome,
    Request,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from ingress.interface.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

__all__ = [
    "Action",
    "AttemptEnded",
    "Backend",
    "CancelAttempt",
    "CloseIdleConnections",
    "CounterReply",
    "DeduplicationScope",
    "EndpointUpdate",
    "EndpointUpdateKind",
    "Event",
    "Fail",
    "FetchEndpoints",
    "GossipReceived",
    "HealthCheckEnded",
    "Idempotency",
    "IncrementCounter",
    "LogMessage",
    "Outcome",
    "Plan",
    "Readiness",
    "Reject",
    "Request",
    "RequestCancelled",
    "RequestClass",
    "SendAttempt",
    "SendGossip",
    "SendHealthCheck",
    "SetTimer",
    "Settings",
    "StreamStarted",
    "SubscribeEndpoints",
    "TimerFired",
]
