"""Tables of sweeps for the terminal, and the ratios between points of the acceptance sweep."""

from __future__ import annotations

from dataclasses import dataclass

from rich.table import Table

from scale.results import Point, Result

ACCEPTANCE_SWEEP = "acceptance"
SIZE_ROWS = ("backends", "ingresses", "tenants", "services", "changes_per_s")
MEASURE_ROWS = {
    "request_cpu_p50_us": "request p50 us",
    "request_cpu_p99_us": "request p99 us",
    "samples": "requests measured",
    "request_calls_p50": "request calls p50",
    "request_calls_p99": "request calls p99",
    "change_cpu_us": "change us",
    "change_calls": "change calls",
    "list_read_cpu_ms": "list read ms",
    "list_apply_cpu_ms": "list apply ms",
    "start_cpu_ms": "start ms",
    "memory_per_backend_bytes": "bytes a backend",
    "memory_per_tenant_bytes": "bytes a tenant",
    "memory_per_open_request_bytes": "bytes an open request",
    "resident_mb": "resident MB",
    "control_cpu_share": "control share",
    "counter_calls_per_request": "counter calls a request",
    "counter_calls_per_s_fleet": "counter calls/s, fleet",
    "counter_wait_share": "counter wait share",
    "counter_wait_p99_ms": "counter wait p99 ms",
    "counter_unanswered_share": "counter unanswered share",
}


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The sizes of a point of the acceptance sweep."""

    backends: int
    ingresses: int

    def __str__(self) -> str:
        return f"{self.backends:,}/{self.ingresses:,}"


@dataclass(frozen=True, slots=True)
class Ratio:
    """A measure at a large fleet size divided by the same measure at a small one."""

    label: str
    measure: str
    """The name of the measure in results."""
    large: FleetSize
    small: FleetSize


LARGE_FLEET = FleetSize(20_000, 3_400)
LARGE_FLEET_WITH_FEW_BACKENDS = FleetSize(200, 3_400)
SMALL_FLEET = FleetSize(200, 40)
RATIOS = (
    Ratio("request, p50", "request_cpu_p50_us", LARGE_FLEET, LARGE_FLEET_WITH_FEW_BACKENDS),
    Ratio("request, p99", "request_cpu_p99_us", LARGE_FLEET, LARGE_FLEET_WITH_FEW_BACKENDS),
    Ratio("request, calls p50", "request_calls_p50", LARGE_FLEET, LARGE_FLEET_WITH_FEW_BACKENDS),
    Ratio("request, calls p99", "request_calls_p99", LARGE_FLEET, LARGE_FLEET_WITH_FEW_BACKENDS),
    Ratio("change", "change_cpu_us", LARGE_FLEET, SMALL_FLEET),
    Ratio("change, calls", "change_calls", LARGE_FLEET, SMALL_FLEET),
)


def _format_cell(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:,.3g}"


def build_sweep_table(result: Result) -> Table:
    """Return a table with one column for each point: the sizes that differ, and the measures."""
    size_names = [name for name in SIZE_ROWS if len({point.sizes[name] for point in result.points}) > 1]
    table = Table(title=f"{result.name}, commit {result.commit[:7]}", show_header=False)
    for name in size_names:
        table.add_row(name, *(_format_cell(point.sizes[name]) for point in result.points))
    table.add_section()
    for name, label in MEASURE_ROWS.items():
        if any(name in point.measures for point in result.points):
            table.add_row(
                label, *(_format_cell(point.measures.get(name, float("nan"))) for point in result.points)
            )
    return table


def _find_point(result: Result, fleet_size: FleetSize) -> Point | None:
    for point in result.points:
        if FleetSize(int(point.sizes["backends"]), int(point.sizes["ingresses"])) == fleet_size:
            return point
    return None


def build_ratio_table(result: Result) -> Table:
    """Return a table of the ratios between those points of the acceptance sweep that were measured."""
    table = Table("ratio", "of backends/ingresses", "to", "value", title="acceptance, ratios")
    for ratio in RATIOS:
        large_point = _find_point(result, ratio.large)
        small_point = _find_point(result, ratio.small)
        if large_point is not None and small_point is not None:
            value = large_point.measures[ratio.measure] / small_point.measures[ratio.measure]
            table.add_row(ratio.label, str(ratio.large), str(ratio.small), f"{value:,.2f}")
    return table
