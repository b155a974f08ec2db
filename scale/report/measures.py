"""The label and unit of each measure on the page, and the sweeps whose tables show it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Measure:
    """How the page shows a measure: its label, its unit and the sweeps whose tables show it."""

    label: str
    unit: str
    sweeps: tuple[str, ...] = ()


# The sweeps whose tables show a measure, each named after the dimension that it varies.
ALL_SWEEPS = ("backends", "ingresses", "tenants", "services", "changes_per_s")
LIST_SWEEPS = ("backends", "ingresses", "services")
LOAD_SWEEPS = ("ingresses", "tenants")

MEASURES = {
    "request_cpu_p50_us": Measure("processor time of a request, median", "µs", ALL_SWEEPS),
    "request_cpu_p99_us": Measure("processor time of a request, 99 in 100", "µs", ALL_SWEEPS),
    "request_calls_p50": Measure("function calls of a request, median", "", ALL_SWEEPS),
    "request_calls_p99": Measure("function calls of a request, 99 in 100", "", ALL_SWEEPS),
    "change_cpu_us": Measure(
        "processor time of a list change, median", "µs", (*LIST_SWEEPS, "changes_per_s")
    ),
    "change_cpu_p99_us": Measure("processor time of a list change, 99 in 100", "µs", LIST_SWEEPS),
    "change_calls": Measure("function calls of a list change", "", (*LIST_SWEEPS, "changes_per_s")),
    "change_read_cpu_us": Measure("processor time to read a list change", "µs", ("backends",)),
    "change_bytes": Measure("bytes of a list change", "B", ("backends",)),
    "list_bytes": Measure("bytes of a complete list", "B", ("backends", "services")),
    "list_read_cpu_ms": Measure("processor time to read a complete list", "ms", LIST_SWEEPS),
    "list_apply_cpu_ms": Measure("processor time to apply a complete list", "ms", LIST_SWEEPS),
    "list_reapply_cpu_ms": Measure("processor time to apply a complete list again", "ms", LIST_SWEEPS),
    "list_read_peak_mb": Measure("memory at most while a complete list is read", "MB", ("backends",)),
    "start_cpu_ms": Measure("processor time to create the module", "ms", ("backends", "ingresses")),
    "memory_per_backend_bytes": Measure("memory for a backend", "B", ("backends",)),
    "memory_per_tenant_bytes": Measure("memory for a tenant", "B", ("tenants",)),
    "memory_per_open_request_bytes": Measure("memory for an open request", "B", ("backends", "tenants")),
    "resident_mb": Measure(
        "resident memory of the module's state", "MB", ("backends", "ingresses", "tenants")
    ),
    "counter_calls_per_request": Measure("counter calls for a request", "", LOAD_SWEEPS),
    "counter_calls_per_s_fleet": Measure("counter calls of the entire fleet", "/s", ("ingresses",)),
    "counter_wait_share": Measure("requests that wait for the counter, share", "", LOAD_SWEEPS),
    "counter_wait_p50_ms": Measure("wait for the counter, median", "ms", LOAD_SWEEPS),
    "counter_wait_p99_ms": Measure("wait for the counter, 99 in 100", "ms", LOAD_SWEEPS),
    "counter_unanswered_share": Measure("counter calls without an answer in time, share", "", LOAD_SWEEPS),
    "discovery_calls_per_s": Measure("calls at discovery", "/s", ("ingresses", "changes_per_s")),
    "control_bytes_per_s": Measure("control traffic of an ingress", "B/s", ("backends", "changes_per_s")),
    "control_cpu_share": Measure("share of a core for control", "", ("backends", "changes_per_s")),
    "change_acted_p50_s": Measure("from a change until an ingress acts, median", "s"),
    "change_acted_p99_s": Measure("from a change until an ingress acts, 99 in 100", "s"),
    "change_acted_max_s": Measure("from a change until every ingress acts", "s"),
    "change_in_force_4s_share": Measure("changes in force everywhere within 4 s, share", ""),
    "change_missing": Measure("pairs of change and ingress never seen in force", ""),
    "served_share": Measure("served, share", ""),
    "refused_share": Measure("refused, share", ""),
    "failed_share": Measure("failed, share", ""),
    "lost": Measure("requests without an answer", ""),
    "idle_control_bytes_per_s": Measure("control traffic of an ingress, no change and no load", "B/s"),
    "worker_lag_p99_ms": Measure("lag of the processes that hollow ingresses share, 99 in 100", "ms"),
    "real_request_cpu_us": Measure("processor time of a request, real ingress", "µs"),
    "real_control_cpu_share": Measure("share of a core for control, real ingress", ""),
    "real_resident_mb": Measure("resident memory, real ingress", "MB"),
    "added_latency_p50_ms": Measure("added to a request, median", "ms"),
    "added_latency_p99_ms": Measure("added to a request, 99 in 100", "ms"),
}


def describe_measure(name: str) -> Measure:
    """Return how a measure is shown; a measure without an entry is shown by its name, without a unit."""
    return MEASURES.get(name, Measure(name.replace("_", " "), ""))


# The measures that the table of scenarios shows, in its order.
SCENARIO_MEASURES = (
    "change_acted_p50_s",
    "change_acted_p99_s",
    "change_acted_max_s",
    "change_in_force_4s_share",
    "change_missing",
    "served_share",
    "refused_share",
    "failed_share",
    "lost",
    "request_cpu_p50_us",
    "request_cpu_p99_us",
    "real_request_cpu_us",
    "added_latency_p50_ms",
    "added_latency_p99_ms",
    "counter_calls_per_request",
    "counter_wait_share",
    "counter_wait_p99_ms",
    "counter_unanswered_share",
    "discovery_calls_per_s",
    "control_bytes_per_s",
    "idle_control_bytes_per_s",
    "control_cpu_share",
    "real_control_cpu_share",
    "resident_mb",
    "real_resident_mb",
    "worker_lag_p99_ms",
)
