"""The `operations` pass: counts the function calls of requests and changes.

The counts are the same in each run of the same source code.
"""

from __future__ import annotations

from statistics import median

import numpy as np

from ingress.interface import EndpointUpdateKind
from scale.slopes.job import Job, Measurement
from scale.slopes.meters import CallMeter
from scale.slopes.passes.common import MIN_SAMPLES, warm_up
from scale.slopes.simulation import Simulation
from scale.slopes.world import World

MAX_WARM_UP_CALLS = 150_000_000  # function calls; the limit shortens the warm-up at the largest sizes
MAX_MEASURED_CALLS = 8_000_000  # function calls; the limit reduces the samples at the largest sizes
MEASURED_CHANGES = 8  # changes of the endpoint list that are measured


def measure_operations(job: Job) -> Measurement:
    """Count the function calls of requests and of changes of the endpoint list."""
    world = World(job, job.sizes.backends)
    meter = CallMeter(world.create_gateway())
    simulation = world.create_simulation(meter)
    simulation.feed(world.build_complete_update(EndpointUpdateKind.RESTORED))
    world.start_requests(simulation)
    calls_per_request = _estimate_calls_per_request(simulation, meter)
    warm_up_request_count = warm_up(
        simulation, max(1, min(job.warm_up_requests, MAX_WARM_UP_CALLS // calls_per_request))
    )
    sample_count = max(MIN_SAMPLES, min(job.operation_samples, MAX_MEASURED_CALLS // calls_per_request))
    request_costs = _measure_requests(simulation, meter, sample_count)
    change_costs = _measure_changes(world, simulation, meter)
    return Measurement(
        measures={
            "request_calls_p50": float(np.percentile(request_costs, 50)),
            "request_calls_p99": float(np.percentile(request_costs, 99)),
            "change_calls": median(change_costs),
            "operation_warm_up_requests": warm_up_request_count,
            "operation_samples": len(request_costs),
        }
    )


def _estimate_calls_per_request(simulation: Simulation, meter: CallMeter) -> int:
    """Count the calls of one request, as a first estimate that limits the number of requests."""
    meter.is_counting = True
    warm_up(simulation, 1)
    meter.is_counting = False
    return max(1, meter.last_cost)


def _measure_requests(simulation: Simulation, meter: CallMeter, sample_count: int) -> list[int]:
    """Return the function calls of each served request; `meter.is_counting` stays set for the changes."""
    statistics = simulation.ledger.statistics
    meter.is_counting = True
    simulation.ledger.is_measuring = True
    simulation.run(lambda: statistics.request_count >= sample_count)
    simulation.ledger.is_measuring = False
    simulation.drain()
    return statistics.request_costs


def _measure_changes(world: World, simulation: Simulation, meter: CallMeter) -> list[int]:
    costs: list[int] = []
    for _ in range(MEASURED_CHANGES):
        simulation.feed(world.build_next_change(simulation.now))
        costs.append(meter.last_cost)
    return costs
