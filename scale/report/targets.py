"""The target figures of the fleet, and the documented figures of today's site, as typed tables."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from typing import Any

SECONDS_PER_DAY = 86_400.0


def _table_field(value: float, unit: str, meaning: str) -> Any:
    """Return a dataclass field with its default value, its unit and its meaning."""
    return field(default=value, metadata={"unit": unit, "meaning": meaning})


@dataclass(frozen=True, slots=True)
class Targets:
    """The target size of the fleet, and the target limits on its cost."""

    ingresses: float = _table_field(3_400.0, "", "ingresses")
    backends: float = _table_field(200_000.0, "", "backends")
    services: float = _table_field(6_000.0, "", "services")
    requests_per_s: float = _table_field(2_300_000.0, "/s", "requests at the peak, all ingresses together")
    routes: float = _table_field(140_000.0, "", "routes")
    tenants: float = _table_field(590_000.0, "", "tenants")
    regions: float = _table_field(5.0, "", "regions")
    zones: float = _table_field(12.0, "", "zones")
    added_latency_ms: float = _table_field(2.4, "ms", "added to a request, for 99 in 100")
    config_changes_per_day: float = _table_field(34_000.0, "/day", "configuration changes")
    change_in_force_s: float = _table_field(4.0, "s", "until a change is in force everywhere")
    control_core_share: float = _table_field(0.019, "of a core", "processor time of an ingress for control")
    control_mb: float = _table_field(64.0, "MB", "memory of an ingress for control")
    control_bytes_per_s: float = _table_field(25_000.0, "B/s", "control traffic of an ingress")
    control_machines: float = _table_field(58.0, "", "machines set aside for control")
    machine_failures_per_day: float = _table_field(840.0, "/day", "machines that fail on an ordinary day")
    restarts_per_day: float = _table_field(
        17_000.0, "/day", "machines restarted or replaced on an ordinary day"
    )
    zone_backends: float = _table_field(
        16_700.0, "", "backends of one zone, lost or back in the worst minute"
    )


@dataclass(frozen=True, slots=True)
class Site:
    """Documented figures of today's site; this tool measured none of them."""

    counter_calls_low: float = _table_field(
        440.0, "/s", "calls that the entire counter of today takes, low end"
    )
    counter_calls_high: float = _table_field(
        590.0, "/s", "calls that the entire counter of today takes, high end"
    )
    spread_low: float = _table_field(2.0, "", "ingresses that share a tenant's requests, low end")
    spread_high: float = _table_field(4.0, "", "ingresses that share a tenant's requests, high end")
    busy_tenants_share: float = _table_field(
        0.22, "of tenants", "tenants that use nearly all of a quota, high end"
    )
    work_s: float = _table_field(0.2, "s", "time of a backend for a request, about the middle of the classes")
    give_up_s: float = _table_field(4.0, "s", "after which a client gives up, in the commonest class")
    counter_way_ms: float = _table_field(1.4, "ms", "one way between two halls, low end")
    counter_call_ms: float = _table_field(0.96, "ms", "a call to an idle counter, ways not counted, low end")


@dataclass(frozen=True, slots=True)
class Entry:
    """One figure of a table, with its name, unit and meaning."""

    name: str
    value: float
    unit: str
    meaning: str


def iterate_entries(table: Targets | Site) -> Iterator[Entry]:
    """Yield the figures of a table in the order of its fields."""
    for table_field in fields(table):
        yield Entry(
            table_field.name,
            getattr(table, table_field.name),
            table_field.metadata["unit"],
            table_field.metadata["meaning"],
        )


TARGETS = Targets()
SITE = Site()

# The target of each dimension that a sweep may vary.
DIMENSION_TARGETS = {
    "backends": TARGETS.backends,
    "ingresses": TARGETS.ingresses,
    "tenants": TARGETS.tenants,
    "services": TARGETS.services,
    "changes_per_s": TARGETS.zone_backends / 60.0,
    "requests_per_s": TARGETS.requests_per_s / TARGETS.ingresses,
}

NAME_SEPARATOR = "-"  # between the dimension and the rest of a sweep's name: "ingresses-at-200-backends"


def dimension_of(sweep: str) -> str:
    """Return the dimension with which a sweep's name begins; the name itself if it begins with none."""
    prefix = sweep.split(NAME_SEPARATOR)[0]
    return prefix if prefix in DIMENSION_TARGETS else sweep
