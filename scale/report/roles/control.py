"""The table of an ingress's control work: holding its list of backends and keeping it up to date."""

from __future__ import annotations

from operator import add

from scale.report import model
from scale.report.evidence import Evidence
from scale.report.figures import combine, computed_figure
from scale.report.loads import DAY_CHANGES_PER_S, WORST_MINUTE_CHANGES_PER_S
from scale.report.roles.sources import BYTES_PER_MEGABYTE, Sources, change_traffic_cells
from scale.report.rows import Cell, Row, same_cells
from scale.report.targets import TARGETS

ALLOWED_BYTES_TEXT = f"{TARGETS.control_bytes_per_s:,.0f} B/s"
ALLOWED_CORE_SHARE_TEXT = f"{TARGETS.control_core_share:g}"


def rows(sources: Sources) -> list[Row]:
    """Return the rows of the table."""
    evidence = sources.evidence
    return [
        Row("state: backends known", *same_cells(computed_figure(TARGETS.backends))),
        Row("calls to the agent", *sources.watch_call_cells(1)),
        *_list_change_rows(evidence),
        *_start_rows(evidence),
        _list_memory_row(evidence),
        *_scenario_rows(evidence),
        Row(
            "resident memory of the module's state",
            *same_cells(
                evidence.estimate_at_targets("resident_mb", "backends", "ingresses", "tenants"), "MB"
            ),
        ),
        Row(
            "from a change until every ingress acts, in the scenario's fleet",
            *same_cells(evidence.scenario_figure("change_acted_max_s"), "s"),
            f"{TARGETS.change_in_force_s:g} s",
        ),
    ]


def _list_change_rows(evidence: Evidence) -> list[Row]:
    change_cpu = evidence.estimate_at_targets("change_cpu_us", "backends", "ingresses")
    change_bytes = evidence.estimate_at_target("backends", "change_bytes")
    return [
        Row("list changes, bytes", *change_traffic_cells(change_bytes), ALLOWED_BYTES_TEXT),
        Row(
            "list changes, share of a core",
            Cell(change_cpu.map(lambda cpu_us: model.core_share(DAY_CHANGES_PER_S, cpu_us))),
            Cell(change_cpu.map(lambda cpu_us: model.core_share(WORST_MINUTE_CHANGES_PER_S, cpu_us))),
            ALLOWED_CORE_SHARE_TEXT,
        ),
    ]


def _start_rows(evidence: Evidence) -> list[Row]:
    read_and_apply = combine(
        add,
        evidence.estimate_at_target("backends", "list_read_cpu_ms"),
        evidence.estimate_at_targets("list_apply_cpu_ms", "backends", "ingresses"),
    )
    module_creation = evidence.estimate_at_targets("start_cpu_ms", "backends", "ingresses")
    return [
        Row("a complete list read and applied, at a start", *same_cells(read_and_apply, "ms")),
        Row("creation of the module, at a start", *same_cells(module_creation, "ms")),
    ]


def _list_memory_row(evidence: Evidence) -> Row:
    bytes_per_backend = evidence.estimate_at_target("backends", "memory_per_backend_bytes")
    return Row(
        "memory of the list",
        *same_cells(
            bytes_per_backend.map(lambda byte_count: byte_count * TARGETS.backends / BYTES_PER_MEGABYTE), "MB"
        ),
        f"{TARGETS.control_mb:g} MB, all control",
    )


def _scenario_rows(evidence: Evidence) -> list[Row]:
    return [
        Row(
            "all control traffic, in the scenario's fleet",
            Cell(evidence.scenario_figure("idle_control_bytes_per_s"), "B/s", note="no change"),
            Cell(evidence.scenario_figure("control_bytes_per_s"), "B/s", note="under load"),
            ALLOWED_BYTES_TEXT,
        ),
        Row(
            "share of a core without load, a real ingress in the scenario's fleet",
            *same_cells(evidence.scenario_figure("real_control_cpu_share")),
            ALLOWED_CORE_SHARE_TEXT,
        ),
    ]
