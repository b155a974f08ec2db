"""The settings of the ingresses of a scenario, as the JSON object that an ingress reads."""

from __future__ import annotations

from typing import Any

from scale.scenario import BackendModel, ClassModel, CounterModel, PlanModel, Scenario
from scale.standins.traffic import MAX_REQUEST_UNITS

TICK_S = 0.002  # resolution of an ingress's times
REAL_INGRESS_MEMORY_MB = 192  # memory limit of a real ingress
REAL_INGRESS_SOCKETS = 1024  # socket limit of a real ingress


def zone_name(number: int) -> str:
    """Return the name of a zone."""
    return f"zone-{number}"


def _category_settings(request_class: ClassModel) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "aim-s": request_class.aim_s,
        "give-up-s": request_class.deadline_s,
        "importance": request_class.worth,
        "late-worth": request_class.late_worth,
        "semantics": request_class.semantics,
        "key-scope": "all",
        "dedup-window-s": request_class.dedup_window_s,
        "stream": False,
    }


def _contract_settings(plan: PlanModel) -> dict[str, Any]:
    return {
        "name": plan.name,
        "refill": plan.rate,
        "burst": plan.burst,
        "at-once": 0,
        "worth-factor": 1.0,
        "excess-cost": plan.excess_cost,
        "over-worth": 0.0,
        "hard-rate": plan.ceiling_rate,
        "ceiling-burst": plan.ceiling_burst,
        "cap-slack": plan.ceiling_slack,
    }


def _limit_settings(backend: BackendModel) -> dict[str, Any]:
    return {
        "max-attempts": 4,
        "second-copies": False,
        "cancel": True,
        "probing": False,
        "peers": False,
        "retry-after": True,
        "connect-timeout-s": 0.25,
        "keepalive-s": backend.keepalive_s,
        "max-open": 20000,
    }


def _rule_settings(backend: BackendModel) -> dict[str, Any]:
    return {
        "answer-slack-s": 0.05,
        "drain-grace-s": backend.drain_s,
        "cold-s": backend.cold_s,
        "start-capacity": backend.cold_share,
        "overload-factor": backend.fall_factor,
        "fall-s": backend.fall_s,
        "ask-within-s": 10.0,
    }


def _counter_settings(counter: CounterModel) -> dict[str, Any]:
    return {
        "counter": True,
        "count-wait-s": counter.timeout_ms / 1000,
        "mail-per-s": 0.0,
        "meter-s": 0.0,
        "cost-after": False,
        "most-units": MAX_REQUEST_UNITS,
    }


def ingress_settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """Return the settings of one ingress."""
    return {
        "balancers": scenario.sizes.ingresses,
        "self-index": number,
        "zone": zone_name(number % scenario.sizes.zones),
        "tick-s": TICK_S,
        "membership-mode": scenario.membership,
        "categories": [_category_settings(request_class) for request_class in scenario.classes],
        "contracts": [_contract_settings(plan) for plan in scenario.plans],
        "limits": _limit_settings(scenario.backend),
        "rules": _rule_settings(scenario.backend),
        "family-info": _counter_settings(scenario.counter),
        "report": {"columns": ["active"], "how": "answers"},
    }
