"""The `times` pass: measures the CPU time of requests, changes and complete lists, and resident memory."""

from __future__ import annotations

import time
from statistics import median

import psutil

from ingress.interface import EndpointUpdate, EndpointUpdateKind
from scale.slopes.job import Job, Measurement
from scale.slopes.meters import CpuMeter
from scale.slopes.passes.common import (
    MEBIBYTE,
    MIN_SAMPLES,
    NANOSECONDS_PER_MS,
    NANOSECONDS_PER_US,
    CpuBudget,
    Measures,
    calculate_percentile,
    measure_cpu_ms,
    warm_up,
)
from scale.slopes.simulation import Simulation
from scale.slopes.world import World

# Limits on the CPU time of the phases, as factors of the CPU budget of the job.
WARM_UP_BUDGET_FACTOR = 6.0
REQUESTS_BUDGET_FACTOR = 0.7
CHANGES_BUDGET_FACTOR = 0.25
MAX_MEASURED_CHANGES = 40  # changes of the endpoint list


def measure_times(job: Job) -> Measurement:
    """Measure the CPU time and the resident memory of a gateway under load."""
    world = World(job, job.sizes.backends)
    rss_before = psutil.Process().memory_info().rss
    measures: Measures = {"start_cpu_ms": measure_cpu_ms(world.create_gateway)}
    gateway = world.create_gateway()
    meter = CpuMeter(gateway)
    simulation = world.create_simulation(meter)
    measures |= _measure_complete_list(world, simulation, meter)
    measures |= _measure_requests(world, simulation)
    measures["resident_mb"] = (psutil.Process().memory_info().rss - rss_before) / MEBIBYTE
    measures |= _measure_changes(world, simulation)
    simulation.feed(world.build_complete_update(EndpointUpdateKind.REPLACE))
    measures["list_reapply_cpu_ms"] = meter.last_cost / NANOSECONDS_PER_MS
    measures["control_cpu_share"] += (
        job.sizes.changes_per_s * (measures["change_cpu_us"] + measures["change_read_cpu_us"]) / 1e6
    )
    measures["tenants_here"] = job.sizes.tenants_per_ingress
    return Measurement(measures=measures)


def _measure_complete_list(world: World, simulation: Simulation, meter: CpuMeter) -> Measures:
    """Decode the complete list, and hand it to a gateway without a list."""
    body = world.backend_list.encode_complete_list()
    decode_ms = measure_cpu_ms(lambda: world.decode(body))
    simulation.feed(world.build_complete_update(EndpointUpdateKind.RESTORED))
    return {
        "list_bytes": len(body),
        "list_read_cpu_ms": decode_ms,
        "list_apply_cpu_ms": meter.last_cost / NANOSECONDS_PER_MS,
    }


def _measure_requests(world: World, simulation: Simulation) -> Measures:
    """Measure requests while the endpoint list changes, both at the rates of the job.

    The measurement ends after `measured_s` of simulated time or when its part of the CPU budget is used up,
    but not before MIN_SAMPLES requests have arrived.
    """
    job = world.job
    world.start_requests(simulation)
    simulation.start_changes(world.build_next_change, job.sizes.changes_per_s)
    budget = CpuBudget(job.cpu_budget_s * WARM_UP_BUDGET_FACTOR)
    warm_up_request_count = warm_up(simulation, job.warm_up_requests, budget.is_exhausted)
    simulation.ledger.is_measuring = True
    budget = CpuBudget(job.cpu_budget_s * REQUESTS_BUDGET_FACTOR)
    statistics = simulation.ledger.statistics
    started_at = simulation.now
    ends_at = started_at + job.measured_s
    simulation.run(
        lambda: statistics.request_count >= MIN_SAMPLES
        and (simulation.now >= ends_at or budget.is_exhausted())
    )
    measured_s = simulation.now - started_at
    control_cost_ns = statistics.control_cost
    simulation.ledger.is_measuring = False
    simulation.drain()
    request_costs = statistics.request_costs
    return {
        "request_cpu_p50_us": calculate_percentile(request_costs, 50) / NANOSECONDS_PER_US,
        "request_cpu_p99_us": calculate_percentile(request_costs, 99) / NANOSECONDS_PER_US,
        "warm_up_requests": warm_up_request_count,
        "samples": len(request_costs),
        "simulated_s": measured_s,
        "control_cpu_share": control_cost_ns / 1e9 / measured_s,  # the caller adds the share of changes
    }


def _measure_changes(world: World, simulation: Simulation) -> Measures:
    """Measure changes of one entry, which are decoded and applied one after another."""
    budget = CpuBudget(world.job.cpu_budget_s * CHANGES_BUDGET_FACTOR)
    decode_times_ns: list[float] = []
    body_sizes: list[int] = []
    apply_costs: list[int] = []
    while len(apply_costs) < MIN_SAMPLES or (
        len(apply_costs) < MAX_MEASURED_CHANGES and not budget.is_exhausted()
    ):
        body = world.backend_list.encode_next_change(simulation.now)
        body_sizes.append(len(body))
        started_at = time.thread_time_ns()
        backends = world.decode(body)
        decode_times_ns.append(time.thread_time_ns() - started_at)
        simulation.feed(EndpointUpdate(EndpointUpdateKind.UPDATE, backends, world.backend_list.version))
        apply_costs.append(simulation.meter.last_cost)
    return {
        "change_cpu_us": median(apply_costs) / NANOSECONDS_PER_US,
        "change_cpu_p99_us": calculate_percentile(apply_costs, 99) / NANOSECONDS_PER_US,
        "change_read_cpu_us": median(decode_times_ns) / NANOSECONDS_PER_US,
        "change_bytes": median(body_sizes),
        "change_samples": len(apply_costs),
    }
