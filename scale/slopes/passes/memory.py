"""The `memory` pass: measures the memory that backends, tenants and open requests take, with tracemalloc."""

from __future__ import annotations

import gc
import tracemalloc
from itertools import islice

from ingress.interface import Action, AttemptEnded, EndpointUpdateKind, Outcome, SendAttempt
from scale.slopes.job import Job, Measurement
from scale.slopes.meters import CpuMeter
from scale.slopes.passes.common import MEBIBYTE, Measures
from scale.slopes.simulation import BACKEND_LATENCY_S
from scale.slopes.traffic import build_request_of_each_tenant, generate_arrivals
from scale.slopes.world import START_TIME_S, World

BACKEND_COUNT = 400  # backends in the measurement of the memory of tenants and open requests
MAX_OPEN_REQUESTS = 100


def measure_memory(job: Job) -> Measurement:
    """Measure the memory of a backend, a tenant and an open request, and the peak while a list is decoded."""
    tracemalloc.start()
    world = World(job, job.sizes.backends)
    measures = _measure_list(world) | _measure_requests(job)
    tracemalloc.stop()
    return Measurement(measures=measures)


def _measure_traced_bytes() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def _measure_list(world: World) -> Measures:
    body = world.backend_list.encode_complete_list()
    gateway = world.create_gateway()
    simulation = world.create_simulation(CpuMeter(gateway))
    bytes_before = _measure_traced_bytes()
    tracemalloc.reset_peak()
    event = world.build_complete_update(EndpointUpdateKind.RESTORED)
    peak_bytes = tracemalloc.get_traced_memory()[1] - bytes_before - len(body)
    simulation.feed(event)
    del event
    return {
        "memory_per_backend_bytes": (_measure_traced_bytes() - bytes_before) / world.job.sizes.backends,
        "list_read_peak_mb": peak_bytes / MEBIBYTE,
    }


def _measure_requests(job: Job) -> Measures:
    """Measure the memory of tenants and of open requests, on a gateway with few backends.

    Each tenant sends one request that is answered; then more requests arrive and stay open.
    """
    world = World(job, BACKEND_COUNT)
    gateway = world.create_gateway()
    gateway.handle(START_TIME_S, world.build_complete_update(EndpointUpdateKind.RESTORED))
    bytes_before = _measure_traced_bytes()
    requests = build_request_of_each_tenant(job.sizes, world.settings, world.demand)
    for number, request in enumerate(requests):
        now = START_TIME_S + number / job.sizes.requests_per_s
        for attempt in _select_attempts(gateway.handle(now, request)):
            ended = AttemptEnded(
                id=attempt.id,
                attempt=0,
                backend=attempt.backend,
                outcome=Outcome.OK,
                latency=BACKEND_LATENCY_S,
                finished=True,
            )
            gateway.handle(now, ended)
    bytes_with_tenants = _measure_traced_bytes()
    open_request_count = 0
    for arrival in islice(
        generate_arrivals(job.sizes, world.settings, world.demand, now, job.seed), MAX_OPEN_REQUESTS
    ):
        open_request_count += len(_select_attempts(gateway.handle(arrival.arrives_at, arrival.request)))
    return {
        "memory_per_tenant_bytes": (bytes_with_tenants - bytes_before) / job.sizes.tenants_per_ingress,
        "memory_per_open_request_bytes": (_measure_traced_bytes() - bytes_with_tenants)
        / max(1, open_request_count),
    }


def _select_attempts(actions: list[Action]) -> list[SendAttempt]:
    return [action for action in actions if isinstance(action, SendAttempt)]
