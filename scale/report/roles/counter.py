"""The table of the shared counter and its shards."""

from __future__ import annotations

from scale.report import model
from scale.report.evidence import Evidence
from scale.report.figures import Figure, computed_figure
from scale.report.roles.sources import Sources
from scale.report.rows import NOT_MEASURED, Cell, Row, same_cells
from scale.report.targets import SITE, TARGETS


def rows(sources: Sources) -> list[Row]:
    """Return the rows of the table."""
    connections = sources.constants.get_figure("MAX_CONNECTIONS").map(
        lambda per_ingress: per_ingress * TARGETS.ingresses
    )
    return [
        Row(
            "state: counts in use", *same_cells(computed_figure(TARGETS.tenants), note="and as many that end")
        ),
        Row("connections, at most", *same_cells(connections)),
        *_call_rows(sources.evidence),
        *_wait_rows(sources.evidence),
        Row("processor time and memory", *NOT_MEASURED),
    ]


def _call_rows(evidence: Evidence) -> list[Row]:
    calls_per_request = evidence.estimate_at_target("ingresses", "counter_calls_per_request")
    calls_per_s = calls_per_request.map(
        lambda calls: model.counter_calls_per_s(TARGETS.requests_per_s, calls)
    )
    return [
        Row("calls for a request", *same_cells(calls_per_request)),
        Row(
            "calls",
            *same_cells(calls_per_s, "/s"),
            f"{SITE.counter_calls_low:g} to {SITE.counter_calls_high:g} /s today",
        ),
        Row(
            "counters of today's capacity",
            Cell(
                _shards_needed(calls_per_s, SITE.counter_calls_high),
                note=f"at {SITE.counter_calls_high:g} /s each",
            ),
            Cell(
                _shards_needed(calls_per_s, SITE.counter_calls_low),
                note=f"at {SITE.counter_calls_low:g} /s each",
            ),
            f"within {TARGETS.control_machines:g} machines",
        ),
    ]


def _shards_needed(calls_per_s: Figure, calls_per_shard: float) -> Figure:
    """Return the number of counters needed if each takes `calls_per_shard` calls per second."""
    return calls_per_s.map(lambda calls: float(model.shards_needed(calls, calls_per_shard)))


def _wait_rows(evidence: Evidence) -> list[Row]:
    share = evidence.estimate_at_target("ingresses", "counter_wait_share")
    wait = evidence.estimate_at_target("ingresses", "counter_wait_p99_ms")
    return [
        Row(
            "requests that wait for the counter",
            *same_cells(share, "%", 100.0),
            "1% at most, where a wait is late",
        ),
        Row("wait, 99 in 100", *same_cells(wait, "ms"), f"{TARGETS.added_latency_ms:g} ms"),
    ]
