"""The table of an ingress's request path."""

from __future__ import annotations

from scale.report import model
from scale.report.evidence import Evidence
from scale.report.figures import computed_figure
from scale.report.loads import REGION_LOSS_FACTOR, REQUESTS_PER_S
from scale.report.roles.sources import BYTES_PER_MEGABYTE, Sources
from scale.report.rows import Cell, Row, same_cells
from scale.report.targets import SITE, TARGETS

SWEEPS = ("backends", "ingresses", "tenants")
WORST_REQUESTS_PER_S = REQUESTS_PER_S * REGION_LOSS_FACTOR  # at one ingress while a region is down
DAY_IN_FLIGHT = model.attempts_in_flight(REQUESTS_PER_S, SITE.work_s)
# Requests in flight if no backend answers before the clients give up.
WORST_IN_FLIGHT = model.attempts_in_flight(WORST_REQUESTS_PER_S, SITE.give_up_s)


def rows(sources: Sources) -> list[Row]:
    """Return the rows of the table."""
    return [*_load_rows(), *_processor_time_rows(sources.evidence), _memory_row(sources.evidence)]


def _load_rows() -> list[Row]:
    return [
        Row(
            "requests in flight",
            Cell(computed_figure(DAY_IN_FLIGHT)),
            Cell(computed_figure(WORST_IN_FLIGHT), note="if none is answered until its client gives up"),
        ),
        Row(
            "requests and attempts",
            Cell(computed_figure(2 * REQUESTS_PER_S), "/s"),
            Cell(computed_figure(2 * WORST_REQUESTS_PER_S), "/s", note="with a region's load besides"),
        ),
    ]


def _processor_time_rows(evidence: Evidence) -> list[Row]:
    cpu_p50 = evidence.estimate_at_targets("request_cpu_p50_us", *SWEEPS)
    cpu_p99 = evidence.estimate_at_targets("request_cpu_p99_us", *SWEEPS)
    return [
        Row(
            "share of a core",
            Cell(cpu_p50.map(lambda cpu_us: model.core_share(REQUESTS_PER_S, cpu_us))),
            Cell(cpu_p50.map(lambda cpu_us: model.core_share(WORST_REQUESTS_PER_S, cpu_us))),
            "under 1",
        ),
        Row(
            "processor time of a request, 99 in 100",
            *same_cells(cpu_p99, "ms", 1e-3),
            f"{TARGETS.added_latency_ms:g} ms, waits included",
        ),
        Row(
            "added to a request, 99 in 100, in the scenario's fleet",
            *same_cells(evidence.scenario_figure("added_latency_p99_ms"), "ms"),
            f"{TARGETS.added_latency_ms:g} ms",
        ),
    ]


def _memory_row(evidence: Evidence) -> Row:
    memory = evidence.estimate_at_target("backends", "memory_per_open_request_bytes")
    return Row(
        "memory of requests in flight",
        Cell(
            memory.map(lambda bytes_per_request: bytes_per_request * DAY_IN_FLIGHT / BYTES_PER_MEGABYTE), "MB"
        ),
        Cell(
            memory.map(lambda bytes_per_request: bytes_per_request * WORST_IN_FLIGHT / BYTES_PER_MEGABYTE),
            "MB",
        ),
    )
