"""Tests of the decoding of settings."""

from __future__ import annotations

from typing import Any

import pytest

from ingress import interface as api
from ingress.settings_codec import decode_settings

CLASS = {"name": "read", "aim-s": 1.0, "give-up-s": 4.0, "importance": 2.0, "semantics": "safe"}
PLAN = {"name": "basic", "refill": 2.0, "burst": 8.0}
MINIMAL_SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "self-index": 1,
    "categories": [CLASS],
    "contracts": [PLAN],
    "limits": {},
    "rules": {},
    "family-info": {},
}


def test_missing_optional_keys_have_the_defaults_of_the_interface() -> None:
    assert decode_settings(MINIMAL_SETTINGS) == api.Settings(
        classes=(api.RequestClass("read", 1.0, 4.0, 2.0),),
        plans=(api.Plan("basic", 2.0, 8.0),),
        instance_index=1,
        instance_count=2,
    )


def test_all_fields_of_a_request_class_are_decoded() -> None:
    row = CLASS | {
        "semantics": "keyed",
        "late-worth": 0.5,
        "key-scope": "cell",
        "dedup-window-s": 3.0,
        "aim-stretch": 1.5,
        "stream": True,
    }
    assert decode_settings(MINIMAL_SETTINGS | {"categories": [row]}).classes == (
        api.RequestClass(
            name="read",
            latency_objective=1.0,
            deadline=4.0,
            priority_weight=2.0,
            late_weight_share=0.5,
            idempotency=api.Idempotency.KEYED,
            deduplication_scope=api.DeduplicationScope.CELL,
            deduplication_window=3.0,
            latency_objective_stretch=1.5,
            stream=True,
        ),
    )


def test_all_fields_of_a_plan_are_decoded() -> None:
    row = PLAN | {
        "at-once": 3,
        "worth-factor": 1.5,
        "over-worth": 0.25,
        "excess-cost": 0.5,
        "hard-rate": 20.0,
        "ceiling-burst": 30.0,
        "cap-slack": 4.0,
    }
    assert decode_settings(MINIMAL_SETTINGS | {"contracts": [row]}).plans == (
        api.Plan(
            name="basic",
            rate=2.0,
            burst=8.0,
            concurrency_limit=3,
            weight_factor=1.5,
            over_quota_weight_share=0.25,
            over_quota_cost_share=0.5,
            ceiling_rate=20.0,
            ceiling_burst=30.0,
            ceiling_slack=4.0,
        ),
    )


def test_all_other_settings_are_decoded() -> None:
    values = MINIMAL_SETTINGS | {
        "zone": "a",
        "tick-s": 0.002,
        "membership-mode": "on_request",
        "rules": {
            "answer-slack-s": 0.1,
            "drain-grace-s": 0.2,
            "cold-s": 0.3,
            "start-capacity": 0.4,
            "overload-factor": 2.5,
            "fall-s": 0.6,
            "ask-within-s": 0.7,
        },
        "limits": {
            "max-attempts": 3,
            "second-copies": True,
            "cancel": True,
            "probing": True,
            "peers": True,
            "retry-after": False,
        },
        "family-info": {
            "mail-per-s": 5.0,
            "counter": True,
            "count-wait-s": 0.05,
            "meter-s": 10.0,
            "cost-after": True,
            "most-units": 8,
        },
    }
    settings = decode_settings(values)
    assert settings == api.Settings(
        classes=settings.classes,
        plans=settings.plans,
        instance_index=1,
        instance_count=2,
        zone="a",
        tick=0.002,
        answer_slack=0.1,
        drain_grace=0.2,
        slow_start_duration=0.3,
        slow_start_initial_share=0.4,
        overload_factor=2.5,
        overload_window=0.6,
        max_poll_interval=0.7,
        poll_discovery=True,
        max_attempts=3,
        hedging=True,
        cancellation=True,
        health_checks=True,
        gossip=True,
        gossip_receive_rate=5.0,
        counter_enabled=True,
        counter_timeout=0.05,
        usage_meter_period=10.0,
        settles_units=True,
        max_request_units=8,
        sends_retry_after=False,
    )


@pytest.mark.parametrize("key", list(MINIMAL_SETTINGS))
def test_missing_required_key_is_named_in_the_error(key: str) -> None:
    with pytest.raises(KeyError, match=key):
        decode_settings({name: value for name, value in MINIMAL_SETTINGS.items() if name != key})
