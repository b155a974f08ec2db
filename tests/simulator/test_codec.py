"""Tests of the simulator's messages: decoding into events, and encoding of actions."""

from __future__ import annotations

from typing import Any

import pytest

from ingress import interface as api
from ingress.simulator.codec import DeliverEvent, decode_command, encode_action

BACKENDS = (api.Backend("b1"), api.Backend("b2", readiness=api.Readiness.DRAINING))
SNAPSHOTS = {4: BACKENDS}


@pytest.mark.parametrize(
    ("message", "event"),
    [
        (
            {"m": "Ingress", "rid": "r", "service": "s", "tariff": "t", "account": "a", "grace-s": 2.0},
            api.Request("r", "s", "t", "a", 2.0),
        ),
        (
            {"m": "First", "rid": "r", "round-no": 1, "backend": "b1", "latency-s": 0.5},
            api.StreamStarted("r", 1, "b1", 0.5),
        ),
        (
            {
                "m": "Result",
                "rid": "r",
                "backend": "b1",
                "rc": "saturated",
                "telemetry": {"cpu": 0.5, "x": 1},
            },
            api.AttemptEnded(
                "r", 0, "b1", api.Outcome.REJECTED, settled_units=0, load_report={"util": 0.5, "x": 1}
            ),
        ),
        ({"m": "Abandoned", "rid": "r"}, api.RequestCancelled("r")),
        ({"m": "Wake", "token": 7}, api.TimerFired(7)),
        (
            {"m": "HealthResult", "backend": "b1", "rc": "overdue"},
            api.HealthCheckEnded("b1", api.Outcome.TIMEOUT),
        ),
        ({"m": "Whisper", "sender": 2, "content": "c"}, api.GossipReceived(2, "c")),
        (
            {"m": "CounterReply", "name": 9, "rc": "completed", "level": 3.0},
            api.CounterReply(9, api.Outcome.OK, 3.0),
        ),
        (
            {"m": "BackendsChanged", "kind": "replace", "epoch": 6, "set-id": 4},
            api.EndpointUpdate(api.EndpointUpdateKind.REPLACE, BACKENDS, 6),
        ),
        (
            {"m": "BackendsChanged", "kind": "unavailable"},
            api.EndpointUpdate(api.EndpointUpdateKind.UNAVAILABLE),
        ),
    ],
    ids=lambda value: value["m"] if isinstance(value, dict) else "",
)
def test_message_is_decoded_into_an_event(message: dict[str, Any], event: api.Event) -> None:
    assert decode_command(message | {"ingress": 3}, SNAPSHOTS) == DeliverEvent(3, event)


@pytest.mark.parametrize(
    ("action", "message"),
    [
        (api.SendAttempt("r", "b1", 0.5), {"m": "CallOut", "rid": "r", "backend": "b1", "cap-s": 0.5}),
        (api.CancelAttempt("r", 2), {"m": "AbortAttempt", "rid": "r", "round-no": 2}),
        (api.Reject("r", 1.5), {"m": "Decline", "rid": "r", "retry-after-s": 1.5}),
        (api.Fail("r"), {"m": "Abort", "rid": "r"}),
        (api.SetTimer(0.25, 8), {"m": "Remind", "after-s": 0.25, "token": 8}),
        (api.SendHealthCheck("b1"), {"m": "Inspect", "backend": "b1"}),
        (api.CloseIdleConnections("b1"), {"m": "Close", "backend": "b1"}),
        (api.SendGossip("c"), {"m": "Share", "recipient": "all", "content": "c"}),
        (api.SendGossip("c", 0), {"m": "Share", "recipient": 0, "content": "c"}),
        (api.IncrementCounter(9, 1.0, 60.0), {"m": "Tally", "name": 9, "add": 1.0, "lifetime-s": 60.0}),
        (api.SubscribeEndpoints(), {"m": "Tail", "on": True}),
        (api.FetchEndpoints(), {"m": "Lookup"}),
        (api.LogMessage("t"), {"m": "Record", "reason-text": "t"}),
    ],
    ids=lambda value: value["m"] if isinstance(value, dict) else "",
)
def test_action_is_encoded_into_a_message(action: api.Action, message: dict[str, Any]) -> None:
    encoded = encode_action(action, 3)
    assert encoded == message | {"ingress": 3}
    assert list(encoded) == [*message, "ingress"]
