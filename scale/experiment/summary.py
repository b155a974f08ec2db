"""Compute all measures of one run from its record."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from scale.experiment.change_delays import change_measures, measure_change_delays
from scale.experiment.cold_load import cold_peak_ratio, merge_cold_units
from scale.experiment.measures import calculate_share, hollow_measures, merge_times, outcome_measures
from scale.experiment.messages import ClientsReport, Incarnation
from scale.experiment.parts import RealIncarnation, real_group_name
from scale.experiment.reports import Reports
from scale.experiment.samples import Phase, control_measures
from scale.experiment.timeline import Timeline
from scale.scenario import Scenario
from scale.standins.agent import Agent


@dataclass(frozen=True, slots=True)
class RunRecord:
    """The data of a run from which its measures are computed."""

    scenario: Scenario
    timeline: Timeline
    reports: Reports
    idle: Phase
    load: Phase
    resident_measures: dict[str, float]  # measures of resident memory, taken at the end of the load
    observed_until: float  # monotonic clock: end of the observation of changes


def run_measures(record: RunRecord) -> dict[str, float]:
    """Return all measures of a run by name."""
    sizes = record.scenario.sizes
    measures = _outcome_measures(record.reports) | record.resident_measures
    if record.reports.hollow:
        measures |= hollow_measures(record.reports.hollow)
    measures |= control_measures(record.idle, record.load, sizes.hollow, sizes.real)
    if record.reports.clients is not None:
        measures |= _real_measures(record.reports.clients, record.idle, record.load, measures)
    return measures | _change_measures(record) | _real_process_measures(record) | _cold_measures(record)


def _outcome_measures(reports: Reports) -> dict[str, float]:
    hollow_counts = sum((Counter(report.counts) for report in reports.hollow), Counter())
    client_counts = Counter(reports.clients.counts if reports.clients else {})
    return outcome_measures(hollow_counts, client_counts)


def _real_measures(
    clients: ClientsReport, idle: Phase, load: Phase, measures: dict[str, float]
) -> dict[str, float]:
    """Return the CPU time of a request at the real ingresses, and the latencies that clients saw.

    The control CPU, at its rate in the idle phase, is subtracted from the CPU time under load.
    """
    latency = merge_times([clients.latency])
    added = merge_times([clients.added])
    idle_cores = (idle.end.real_cpu_s - idle.start.real_cpu_s) / idle.duration_s
    cpu_s = load.end.real_cpu_s - load.start.real_cpu_s - idle_cores * load.duration_s
    return {
        "real_request_cpu_us": max(0.0, calculate_share(cpu_s * 1e6, measures.get("real_requests", 0.0))),
        "added_latency_p50_ms": added.get_percentile_ms(50),
        "added_latency_p99_ms": added.get_percentile_ms(99),
        "client_latency_p50_ms": latency.get_percentile_ms(50),
        "client_latency_p99_ms": latency.get_percentile_ms(99),
    }


def _change_measures(record: RunRecord) -> dict[str, float]:
    agent = record.timeline.parts.agent
    hollow_incarnations = [
        incarnation for report in record.reports.hollow for incarnation in report.incarnations
    ]
    real_incarnations = [
        _build_real_incarnation(incarnation, agent) for incarnation in record.timeline.real_incarnations
    ]
    measures = change_measures(
        measure_change_delays(
            agent.published_changes, hollow_incarnations + real_incarnations, record.observed_until
        )
    )
    if real_incarnations:
        # Report real ingresses separately: hollow ones share processes, in which they delay each other.
        measures |= change_measures(
            measure_change_delays(agent.published_changes, real_incarnations, record.observed_until), "real_"
        )
    measures["changes"] = float(len(agent.published_changes))
    return measures


def _build_real_incarnation(real: RealIncarnation, agent: Agent) -> Incarnation:
    """Return the incarnation of a real ingress, with the versions that its watches show it has acted on."""
    ended_at = real.ended_at if real.ended_at is not None else float("inf")
    acted = [
        (version, acted_at)
        for version, acted_at in agent.acted_versions[real_group_name(real.ingress_number)]
        if real.started_at <= acted_at <= ended_at
    ]
    return Incarnation(number=real.ingress_number, started=real.started_at, ended=real.ended_at, acted=acted)


def _real_process_measures(record: RunRecord) -> dict[str, float]:
    real = record.timeline.parts.real_ingresses.values()
    return {
        "real_died": float(sum(not ingress.is_running for ingress in real)),
        "real_killed": float(sum(ingress.kill_count for ingress in real)),
    }


def _cold_measures(record: RunRecord) -> dict[str, float]:
    hollow_units = [report.cold_units for report in record.reports.hollow]
    units_by_start = merge_cold_units([*hollow_units, _real_cold_units(record.timeline, record.reports)])
    return {
        "cold_starts": float(len(units_by_start)),
        "cold_peak_ratio": cold_peak_ratio(record.scenario.backend, units_by_start),
    }


def _real_cold_units(timeline: Timeline, reports: Reports) -> dict[str, dict[int, float]]:
    """Return the units that the backends received from real ingresses while cold, by start."""
    if reports.backends is None:
        return {}
    return {
        timeline.cold_start_keys[listener]: windows
        for listener, windows in reports.backends.cold_units.items()
        if listener in timeline.cold_start_keys
    }
