"""Tables of sweeps for the terminal, and the ratios that the acceptance sweep is about."""

from __future__ import annotations

from rich.table import Table

from scale.results import Point, Result

ACCEPTANCE = "acceptance"
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
RATIOS = (  # what is compared, its name in the results, and the two corners as backends, ingresses
    ("request, p50", "request_cpu_p50_us", (20_000, 3_400), (200, 3_400)),
    ("request, p99", "request_cpu_p99_us", (20_000, 3_400), (200, 3_400)),
    ("request, calls p50", "request_calls_p50", (20_000, 3_400), (200, 3_400)),
    ("request, calls p99", "request_calls_p99", (20_000, 3_400), (200, 3_400)),
    ("change", "change_cpu_us", (20_000, 3_400), (200, 40)),
    ("change, calls", "change_calls", (20_000, 3_400), (200, 40)),
)


def _cell(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:,.3g}"


def sweep_table(result: Result) -> Table:
    """The points of a sweep side by side, with the sizes that differ and the measures that it has."""
    sizes = [name for name in SIZE_ROWS if len({point.sizes[name] for point in result.points}) > 1]
    table = Table(title=f"{result.name}, commit {result.commit[:7]}", show_header=False)
    for name in sizes:
        table.add_row(name, *(_cell(point.sizes[name]) for point in result.points))
    table.add_section()
    for name, label in MEASURE_ROWS.items():
        if any(name in point.measures for point in result.points):
            table.add_row(label, *(_cell(point.measures.get(name, float("nan"))) for point in result.points))
    return table


def _corner(result: Result, backends: int, ingresses: int) -> Point | None:
    for point in result.points:
        if (point.sizes["backends"], point.sizes["ingresses"]) == (backends, ingresses):
            return point
    return None


def ratio_table(result: Result) -> Table:
    """The ratios between corners of the acceptance sweep, as far as they were measured."""
    table = Table("ratio", "of backends/ingresses", "to", "value", title="acceptance, ratios")
    for label, name, large, small in RATIOS:
        above, below = _corner(result, *large), _corner(result, *small)
        if above is not None and below is not None:
            value = above.measures[name] / below.measures[name]
            table.add_row(label, "{:,}/{:,}".format(*large), "{:,}/{:,}".format(*small), f"{value:,.2f}")
    return table
