"""Samples of a run's totals, and the measures of control traffic between two samples."""

from __future__ import annotations

import time
from dataclasses import dataclass

from scale.experiment.parts import Parts


@dataclass(frozen=True, slots=True)
class Sample:
    """Totals since the start of the run, taken at one time."""

    taken_at: float  # monotonic clock
    discovery_calls: int
    complete_lists: int  # responses of discovery that contained the complete list
    counter_calls: int
    control_bytes: int  # bytes to and from discovery and the counter
    worker_cpu_s: float
    real_cpu_s: float


@dataclass(frozen=True, slots=True)
class Phase:
    """A phase of a run: the samples at its start and its end."""

    start: Sample
    end: Sample

    @property
    def duration_s(self) -> float:
        """The length of the phase in seconds."""
        return self.end.taken_at - self.start.taken_at


def take_sample(parts: Parts) -> Sample:
    """Return the present totals."""
    listener_counts = parts.agent.counts.values()
    counter = parts.counter.counts
    discovery_bytes = sum(group.bytes_in + group.bytes_out for group in listener_counts)
    return Sample(
        taken_at=time.monotonic(),
        discovery_calls=sum(group.calls for group in listener_counts),
        complete_lists=sum(group.complete_lists for group in listener_counts),
        counter_calls=counter.calls,
        control_bytes=discovery_bytes + counter.bytes_in + counter.bytes_out,
        worker_cpu_s=sum(worker.measure_cpu_s() for worker in parts.workers),
        real_cpu_s=sum(ingress.measure_usage().cpu_s for ingress in parts.real_ingresses.values()),
    )


def control_measures(idle: Phase, load: Phase, hollow_count: int, real_count: int) -> dict[str, float]:
    """Return the measures of control traffic and of the CPU time that it takes.

    The rates and `worker_cores` are those of the phase under load, except for the rates with the prefix
    `idle_`.  The shares of control CPU come from the idle phase, in which no requests arrive.
    """
    return _traffic_measures(idle, load, hollow_count + real_count) | _cpu_measures(
        idle, load, hollow_count, real_count
    )


def _traffic_measures(idle: Phase, load: Phase, ingress_count: int) -> dict[str, float]:
    start = load.start
    end = load.end
    idle_bytes = idle.end.control_bytes - idle.start.control_bytes
    idle_calls = idle.end.discovery_calls - idle.start.discovery_calls
    return {
        "discovery_calls_per_s": (end.discovery_calls - start.discovery_calls) / load.duration_s,
        "discovery_whole_lists": float(end.complete_lists - start.complete_lists),
        "counter_calls_per_s_fleet": (end.counter_calls - start.counter_calls) / load.duration_s,
        "control_bytes_per_s": (end.control_bytes - start.control_bytes) / load.duration_s / ingress_count,
        "idle_control_bytes_per_s": idle_bytes / idle.duration_s / ingress_count,
        "idle_discovery_calls_per_s": idle_calls / idle.duration_s,
    }


def _cpu_measures(idle: Phase, load: Phase, hollow_count: int, real_count: int) -> dict[str, float]:
    measures = {}
    if hollow_count:
        idle_cpu_s = idle.end.worker_cpu_s - idle.start.worker_cpu_s
        measures["control_cpu_share"] = idle_cpu_s / idle.duration_s / hollow_count
        measures["worker_cores"] = (load.end.worker_cpu_s - load.start.worker_cpu_s) / load.duration_s
    if real_count:
        idle_cpu_s = idle.end.real_cpu_s - idle.start.real_cpu_s
        measures["real_control_cpu_share"] = idle_cpu_s / idle.duration_s / real_count
    return measures
