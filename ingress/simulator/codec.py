"""Decode the simulator's messages into commands, and encode the gateways' actions into messages.

Unknown keys are ignored.  Decoding raises KeyError for a missing key, an unknown outcome or an endpoint list
that was never sent, ValueError for an unknown message or a value outside its valid range, and TypeError or
AttributeError for a value of the wrong type.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

from ingress import interface as api
from ingress.settings_codec import LOAD_REPORT_FIELDS, decode_settings

Message = Mapping[str, Any]
"""A line of the input or output as a JSON object."""
Snapshots = Mapping[int, tuple[api.Backend, ...]]
"""The endpoint lists received so far, by snapshot id."""

OUTCOMES_BY_RESULT_CODE = {
    "completed": api.Outcome.OK,
    "errored": api.Outcome.ERROR,
    "saturated": api.Outcome.REJECTED,
    "overdue": api.Outcome.TIMEOUT,
    "refused_conn": api.Outcome.CONNECT_FAILED,
    "severed": api.Outcome.RESET,
    "recalled": api.Outcome.CANCELLED,
    "superseded": api.Outcome.SUPERSEDED,
}


@dataclass(slots=True)
class StoreSnapshot:
    """Store an endpoint list; later messages refer to it by its id."""

    snapshot_id: int
    backends: tuple[api.Backend, ...]


@dataclass(slots=True)
class StartInstance:
    """Start a gateway; replace the instance with the same index, if any."""

    instance: int | None
    """Index of the gateway; a command with None has no effect."""
    settings: api.Settings
    seed: int


@dataclass(slots=True)
class StopInstance:
    """Remove a gateway."""

    instance: int | None
    """Index of the gateway; a command with None has no effect."""


@dataclass(slots=True)
class DeliverEvent:
    """Pass an event to a gateway; drop it if that gateway is not running."""

    instance: int | None
    """Index of the gateway; a command with None has no effect."""
    event: api.Event


Command: TypeAlias = StoreSnapshot | StartInstance | StopInstance | DeliverEvent


def decode_command(message: Message, snapshots: Snapshots) -> Command:
    """Decode a message other than those that begin and end a batch."""
    name = message["m"]
    if name == "SnapshotRows":
        backends = tuple(decode_backend(row) for row in message["members-list"])
        return StoreSnapshot(message.get("set-id", 0), backends)
    instance: int | None = message["ingress"]
    if name == "Start":
        return StartInstance(instance, seed=message["nonce64"], settings=decode_settings(message["env"]))
    if name == "PowerOff":
        return StopInstance(instance)
    if name == "BackendsChanged":
        return DeliverEvent(instance, _decode_endpoint_update(message, snapshots))
    if name not in _EVENT_DECODERS:
        raise ValueError(f"unknown message {name!r}")
    return DeliverEvent(instance, _EVENT_DECODERS[name](message))


def decode_backend(row: Message) -> api.Backend:
    """Decode one entry of an endpoint list."""
    return api.Backend(
        id=row["backend"],
        zone=row.get("failure-domain", ""),
        kind=row.get("flavor", ""),
        cell=row.get("group", 0),
        readiness=api.Readiness(row.get("readiness", "ready")),
        weight=row.get("rating", 1.0),
        started=row.get("up-since-s", 0.0),
    )


def _decode_endpoint_update(message: Message, snapshots: Snapshots) -> api.EndpointUpdate:
    kind = api.EndpointUpdateKind(message["kind"])
    is_empty = kind is api.EndpointUpdateKind.UNAVAILABLE
    backends = () if is_empty else snapshots[message.get("set-id", 0)]
    return api.EndpointUpdate(kind, backends, message.get("epoch", 0))


def _decode_request(message: Message) -> api.Request:
    # The arguments are positional because keyword arguments are slower, and this runs for each request.
    return api.Request(
        message["rid"],
        message["service"],
        message["tariff"],
        message["account"],
        message["grace-s"],
        message.get("cost-units", 1),
        message.get("spread", 1),
        message.get("set-from", 0),
        message.get("repeat", False),
        message.get("is-write", False),
    )


def _decode_stream_started(message: Message) -> api.StreamStarted:
    return api.StreamStarted(
        message["rid"], message.get("round-no", 0), message["backend"], message.get("latency-s", 0.0)
    )


def _decode_attempt_ended(message: Message) -> api.AttemptEnded:
    return api.AttemptEnded(
        message["rid"],
        message.get("round-no", 0),
        message["backend"],
        OUTCOMES_BY_RESULT_CODE[message["rc"]],
        message.get("latency-s", 0.0),
        message.get("finished", False),
        message.get("used", 0),
        message.get("settled", 0),
        _decode_load_report(message),
    )


def _decode_request_cancelled(message: Message) -> api.RequestCancelled:
    return api.RequestCancelled(message["rid"])


def _decode_timer_fired(message: Message) -> api.TimerFired:
    return api.TimerFired(message.get("token", 0))


def _decode_health_check_ended(message: Message) -> api.HealthCheckEnded:
    return api.HealthCheckEnded(
        message["backend"],
        OUTCOMES_BY_RESULT_CODE[message["rc"]],
        message.get("latency-s", 0.0),
        _decode_load_report(message),
    )


def _decode_gossip_received(message: Message) -> api.GossipReceived:
    return api.GossipReceived(message.get("sender", 0), message.get("content", ""))


def _decode_counter_reply(message: Message) -> api.CounterReply:
    return api.CounterReply(
        message["name"],
        OUTCOMES_BY_RESULT_CODE[message["rc"]],
        message.get("level", 0.0),
        message.get("latency-s", 0.0),
    )


def _decode_load_report(message: Message) -> dict[str, float]:
    return {LOAD_REPORT_FIELDS.get(name, name): value for name, value in message.get("telemetry", {}).items()}


_EVENT_DECODERS: dict[str, Callable[[Message], api.Event]] = {
    "Ingress": _decode_request,
    "First": _decode_stream_started,
    "Result": _decode_attempt_ended,
    "Abandoned": _decode_request_cancelled,
    "Wake": _decode_timer_fired,
    "HealthResult": _decode_health_check_ended,
    "Whisper": _decode_gossip_received,
    "CounterReply": _decode_counter_reply,
}


def encode_action(action: api.Action, instance: int | None) -> dict[str, Any]:
    """Encode an action of a gateway into a message."""
    message = _encode_request_action(action) or _encode_fleet_action(action)
    message["ingress"] = instance
    return message


def _encode_request_action(action: api.Action) -> dict[str, Any] | None:
    """Encode an action on a request or a timer; return None for any other action."""
    match action:
        case api.SendAttempt(id=request_id, backend=backend_id, timeout=timeout):
            return {"m": "CallOut", "rid": request_id, "backend": backend_id, "cap-s": timeout}
        case api.CancelAttempt(id=request_id, attempt=attempt_number):
            return {"m": "AbortAttempt", "rid": request_id, "round-no": attempt_number}
        case api.Reject(id=request_id, retry_after=retry_after):
            return {"m": "Decline", "rid": request_id, "retry-after-s": retry_after}
        case api.Fail(id=request_id):
            return {"m": "Abort", "rid": request_id}
        case api.SetTimer(delay=delay, token=token):
            return {"m": "Remind", "after-s": delay, "token": token}
    return None


def _encode_fleet_action(action: api.Action) -> dict[str, Any]:
    """Encode an action on a backend, another gateway, the counter, discovery or the log."""
    match action:
        case api.SendHealthCheck(backend=backend_id):
            return {"m": "Inspect", "backend": backend_id}
        case api.CloseIdleConnections(backend=backend_id):
            return {"m": "Close", "backend": backend_id}
        case api.SendGossip(text=text, peer_index=peer_index):
            return {"m": "Share", "recipient": "all" if peer_index is None else peer_index, "content": text}
        case api.IncrementCounter(name=count_name, add=amount, lifetime=lifetime):
            return {"m": "Tally", "name": count_name, "add": amount, "lifetime-s": lifetime}
        case api.SubscribeEndpoints(is_enabled=is_enabled):
            return {"m": "Tail", "on": is_enabled}
        case api.FetchEndpoints():
            return {"m": "Lookup"}
        case api.LogMessage(text=text):
            return {"m": "Record", "reason-text": text}
    raise TypeError(f"unknown action: {action!r}")


def encode_fault(instance: int | None, reason: str) -> dict[str, Any]:
    """Encode the report of an exception in the decision module; the simulator stops and prints the reason."""
    return {"m": "BailOut", "ingress": instance, "reason-text": reason}
