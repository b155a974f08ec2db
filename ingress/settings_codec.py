"""Decode settings, and translate the names of the figures in load reports.

The simulator and the real ingress share this module.  The simulator's `Start` message has the same keys as
the section `settings` of the configuration file that EDGE_CONFIG names, and simulated and real backends use
the same names in their load reports.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ingress import interface as api

LOAD_REPORT_FIELDS = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}
"""Map from the name of a load report figure on the wire to its name in the decision module."""


def decode_settings(values: Mapping[str, Any]) -> api.Settings:
    """Decode the settings of a `Start` message or of the configuration file; ignore unknown keys.

    Raise KeyError for a missing key, ValueError for a number outside its valid range, and TypeError or
    AttributeError for a value of the wrong type.
    """
    limits = values["limits"]
    rules = values["rules"]
    fleet_info = values["family-info"]
    return api.Settings(
        classes=tuple(_decode_class(row) for row in values["categories"]),
        plans=tuple(_decode_plan(row) for row in values["contracts"]),
        instance_index=values["self-index"],
        instance_count=values["balancers"],
        zone=values.get("zone", ""),
        tick=values.get("tick-s", 0.001),
        answer_slack=rules.get("answer-slack-s", 0.0),
        drain_grace=rules.get("drain-grace-s", 0.0),
        slow_start_duration=rules.get("cold-s", 0.0),
        slow_start_initial_share=rules.get("start-capacity", 1.0),
        overload_factor=rules.get("overload-factor", 1.0),
        overload_window=rules.get("fall-s", 1.0),
        max_poll_interval=rules.get("ask-within-s", 0.0),
        poll_discovery=values.get("membership-mode", "pushed") == "on_request",
        max_attempts=limits.get("max-attempts", 1),
        hedging=limits.get("second-copies", False),
        cancellation=limits.get("cancel", False),
        health_checks=limits.get("probing", False),
        gossip=limits.get("peers", False),
        gossip_receive_rate=fleet_info.get("mail-per-s", 0.0),
        counter_enabled=fleet_info.get("counter", False),
        counter_timeout=fleet_info.get("count-wait-s", 0.0),
        usage_meter_period=fleet_info.get("meter-s", 0.0),
        settles_units=fleet_info.get("cost-after", False),
        max_request_units=fleet_info.get("most-units", 1),
        sends_retry_after=limits.get("retry-after", True),
    )


def _decode_class(row: Mapping[str, Any]) -> api.RequestClass:
    return api.RequestClass(
        name=row["name"],
        latency_objective=row["aim-s"],
        deadline=row["give-up-s"],
        priority_weight=row["importance"],
        late_weight_share=row.get("late-worth", 0.0),
        idempotency=api.Idempotency(row["semantics"]),
        deduplication_scope=api.DeduplicationScope(row.get("key-scope") or "all"),
        deduplication_window=row.get("dedup-window-s", 0.0),
        latency_objective_stretch=row.get("aim-stretch", 0.0),
        stream=row.get("stream", False),
    )


def _decode_plan(row: Mapping[str, Any]) -> api.Plan:
    return api.Plan(
        name=row["name"],
        rate=row["refill"],
        burst=row["burst"],
        concurrency_limit=row.get("at-once", 0),
        weight_factor=row.get("worth-factor", 1.0),
        over_quota_weight_share=row.get("over-worth", 0.0),
        over_quota_cost_share=row.get("excess-cost", 0.0),
        ceiling_rate=row.get("hard-rate", 0.0),
        ceiling_burst=row.get("ceiling-burst", 0.0),
        ceiling_slack=row.get("cap-slack", 0.0),
    )
