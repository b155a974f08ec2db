"""The settings of an ingress in a fleet of given sizes."""

from __future__ import annotations

from typing import Any

from ingress.interface import Settings
from ingress.settings_codec import decode_settings
from scale.slopes.job import Sizes
from scale.slopes.tenants import PLAN_NAMES, Demand

ZONES = tuple(f"zone-{number}" for number in range(12))
COUNTER_TIMEOUT_S = 0.05
LATENCY_OBJECTIVE_S = 1.0
DEADLINE_S = 4.0
DEDUPLICATION_WINDOW_S = 3.0
SEMANTICS = ("safe", "safe", "keyed", "safe", "safe", "keyed", "safe", "safe", "unsafe", "keyed")
MAX_REQUEST_UNITS = 8


def build_class_name(number: int) -> str:
    """Return the name of a request class."""
    return f"class-{number}"


def _build_classes(count: int) -> list[dict[str, Any]]:
    """Return one request class for each service; the decision module knows services in no other form yet."""
    return [
        {
            "name": build_class_name(number),
            "aim-s": LATENCY_OBJECTIVE_S,
            "give-up-s": DEADLINE_S,
            "importance": 1.0 + number % 3,
            "semantics": SEMANTICS[number % len(SEMANTICS)],
            "key-scope": "all",
            "dedup-window-s": DEDUPLICATION_WINDOW_S,
        }
        for number in range(count)
    ]


def _build_plans(demand: Demand) -> list[dict[str, Any]]:
    return [
        {"name": name, "refill": plan.rate, "burst": plan.burst, "excess-cost": 0.5, "worth-factor": 1.0}
        for name, plan in zip(PLAN_NAMES, demand.plans, strict=True)
    ]


def build_settings(sizes: Sizes, demand: Demand, sibling: int) -> Settings:
    """Return the settings of one of the ingresses that serve the simulated tenants.

    `sibling` is its number among them, from 0.
    """
    return decode_settings(
        {
            "balancers": sizes.ingresses,
            "self-index": sizes.first_ingress + sibling,
            "zone": ZONES[0],
            "tick-s": 0.002,
            "membership-mode": "pushed",
            "categories": _build_classes(sizes.services),
            "contracts": _build_plans(demand),
            "limits": {"max-attempts": 4, "cancel": True, "retry-after": True},
            "rules": {
                "answer-slack-s": 0.008,
                "ask-within-s": 10.0,
                "cold-s": 15.0,
                "drain-grace-s": 1.0,
                "fall-s": 2.0,
                "overload-factor": 2.5,
                "start-capacity": 0.16,
            },
            "family-info": {
                "counter": True,
                "count-wait-s": COUNTER_TIMEOUT_S,
                "most-units": MAX_REQUEST_UNITS,
            },
        }
    )
