"""The `counter` pass: measures the calls to the counter and the waits for its replies."""

from __future__ import annotations

import numpy as np

from ingress.interface import EndpointUpdateKind
from scale.slopes.counter import CounterStandIn
from scale.slopes.job import Job, Measurement
from scale.slopes.ledger import Statistics
from scale.slopes.meters import CpuMeter
from scale.slopes.passes.common import Measures
from scale.slopes.simulation import Simulation
from scale.slopes.world import START_TIME_S, World

BACKEND_COUNT = 60  # few: their number does not affect the counter, but slows down the simulation
WARM_UP_S = 8.0  # simulated time
MEASURED_S = 12.0  # simulated time
STEP_S = 0.001  # simulated time; shorter than the latency of the counter


def measure_counter(job: Job) -> Measurement:
    """Measure the calls to the counter and the waits for its replies.

    The measurement is long enough for the token buckets of tenants to run low.  All ingresses that serve the
    tenants are simulated, each with its own decision module, because what one of them adds to a count changes
    the replies to the others.
    """
    counter = World(job, BACKEND_COUNT).create_counter(job.sizes.spread)
    siblings = [_start_sibling(job, number, counter) for number in range(job.sizes.spread)]
    warmed_up_at = START_TIME_S + WARM_UP_S
    _run_in_lockstep(siblings, START_TIME_S, warmed_up_at)
    for simulation in siblings:
        simulation.ledger.is_measuring = True
    _run_in_lockstep(siblings, warmed_up_at, warmed_up_at + MEASURED_S)
    for simulation in siblings:
        simulation.ledger.is_measuring = False
        simulation.drain()
    return Measurement(
        measures=_calculate_measures(job, [simulation.ledger.statistics for simulation in siblings])
    )


def _start_sibling(job: Job, number: int, counter: CounterStandIn) -> Simulation:
    world = World(job, BACKEND_COUNT, number)
    simulation = world.create_simulation(CpuMeter(world.create_gateway()), counter)
    simulation.feed(world.build_complete_update(EndpointUpdateKind.RESTORED))
    world.start_requests(simulation)
    return simulation


def _run_in_lockstep(siblings: list[Simulation], start: float, end: float) -> None:
    """Run the simulations in turn, one short step of simulated time after another."""
    for step in range(1, round((end - start) / STEP_S) + 1):
        for simulation in siblings:
            simulation.run_until(start + step * STEP_S)


def _calculate_measures(job: Job, all_statistics: list[Statistics]) -> Measures:
    measured_s = MEASURED_S * len(all_statistics)
    requests = sum(stats.request_count for stats in all_statistics)
    calls = sum(stats.counter_call_count for stats in all_statistics)
    unanswered = sum(stats.unanswered_call_count for stats in all_statistics)
    waits_ms = [1000 * wait for stats in all_statistics for wait in stats.counter_waits_s]
    return {
        "counter_calls_per_request": calls / requests,
        "counter_calls_per_s_fleet": calls / measured_s * job.sizes.ingresses,
        "counter_wait_share": len(waits_ms) / requests,
        "counter_wait_p50_ms": float(np.percentile(waits_ms or [0.0], 50)),
        "counter_wait_p99_ms": float(np.percentile(waits_ms or [0.0], 99)),
        "counter_unanswered_share": unanswered / max(1, calls),
        "counter_refused_share": sum(stats.rejected_count for stats in all_statistics) / requests,
        "counter_bytes_per_s": sum(stats.counter_bytes for stats in all_statistics) / measured_s,
        "tenants_here": job.sizes.tenants_per_ingress,
    }
