"""The passes that measure one combination of sizes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from itertools import islice
from statistics import median

import numpy as np
import psutil
from hdrh.histogram import HdrHistogram

from mulleinhall.interface import Action, AttemptEnded, BackendsChanged, ListKind, Outcome, Send
from scale.slopes.counter import CounterStandIn
from scale.slopes.job import Job, Measurement, Pass
from scale.slopes.meters import CallMeter, CpuMeter
from scale.slopes.simulation import ANSWER_S, Account, Simulation
from scale.slopes.traffic import arrivals, one_request_each
from scale.slopes.world import START, World

Measures = dict[str, float]

NANOSECONDS_PER_US, NANOSECONDS_PER_MS = 1e3, 1e6
LONGEST_COST, DIGITS = 10**12, 3  # of the histogram, in nanoseconds
LEAST_SAMPLES = 5
WARM_UP_BUDGETS, REQUESTS_SHARE, CHANGES_SHARE = 6.0, 0.7, 0.25  # of the CPU budget
MOST_CHANGES = 40
WARM_UP_CALLS, MEASURED_CALLS = 150_000_000, 8_000_000  # bounds of the pass that counts calls
OPERATION_CHANGES = 8
COUNTER_BACKENDS = 60  # few: the counter's calls don't depend on them, and time passes sooner
COUNTER_WARM_UP_S, COUNTER_MEASURED_S = 8.0, 12.0  # simulated
TURN_S = 0.001  # simulated
MEMORY_BACKENDS = 400  # of the gateway on which the memory of tenants and open requests is taken
MOST_OPEN = 100
MEGABYTE = 2**20


def percentile(costs: list[int], share: float) -> float:
    """A percentile of costs in nanoseconds."""
    histogram = HdrHistogram(1, LONGEST_COST, DIGITS)
    for cost in costs:
        histogram.record_value(max(1, cost))
    return float(histogram.get_value_at_percentile(share))


def cpu_ms(action: Callable[[], object]) -> float:
    """The CPU time of an action, in milliseconds."""
    before = time.process_time_ns()
    action()
    return (time.process_time_ns() - before) / NANOSECONDS_PER_MS


class Budget:
    """A limit on the CPU time of this process from now on."""

    def __init__(self, seconds: float) -> None:
        self._end = time.process_time() + seconds

    def over(self) -> bool:
        """Whether the time is used up."""
        return time.process_time() >= self._end


def measure_times(job: Job) -> Measurement:
    """CPU time of requests, changes and lists, and the resident memory, of a gateway under load."""
    before = psutil.Process().memory_info().rss
    world = World(job, job.sizes.backends)
    measures: Measures = {"start_cpu_ms": cpu_ms(world.gateway)}
    gateway = world.gateway()
    meter = CpuMeter(gateway)
    simulation = world.simulation(meter)
    measures |= _read_and_apply(world, simulation, meter)
    measures |= _play(world, simulation)
    measures["resident_mb"] = (psutil.Process().memory_info().rss - before) / MEGABYTE
    measures |= _change(world, simulation)
    simulation.feed(world.whole_list(ListKind.REPLACE))
    measures["list_reapply_cpu_ms"] = meter.last / NANOSECONDS_PER_MS
    measures["control_cpu_share"] += (
        job.sizes.changes_per_s * (measures["change_cpu_us"] + measures["change_read_cpu_us"]) / 1e6)
    measures["tenants_here"] = job.sizes.tenants_here
    return Measurement(measures=measures)


def _read_and_apply(world: World, simulation: Simulation, meter: CpuMeter) -> Measures:
    """The whole list, read and handed to an empty gateway."""
    body = world.list.whole()
    read_ms = cpu_ms(lambda: world.read(body))
    simulation.feed(world.whole_list(ListKind.RESTORED))
    return {"list_bytes": len(body), "list_read_cpu_ms": read_ms,
            "list_apply_cpu_ms": meter.last / NANOSECONDS_PER_MS}


def _play(world: World, simulation: Simulation) -> Measures:
    """Requests and changes at the job's rates, for as long as the budget bears."""
    job = world.job
    world.begin_requests(simulation)
    simulation.begin_changes(world.next_change, job.sizes.changes_per_s)
    budget = Budget(job.cpu_budget_s * WARM_UP_BUDGETS)
    warm_up = _warm_up(simulation, job.warm_up_requests, budget.over)
    simulation.measuring = True
    budget, began = Budget(job.cpu_budget_s * REQUESTS_SHARE), simulation.now
    account, ends_at = simulation.account, simulation.now + job.measured_s
    simulation.run(lambda: account.requests >= LEAST_SAMPLES and (simulation.now >= ends_at or budget.over()))
    span = simulation.now - began
    control = account.control_cost
    simulation.measuring = False
    simulation.drain()
    costs = account.request_costs
    return {
        "request_cpu_p50_us": percentile(costs, 50) / NANOSECONDS_PER_US,
        "request_cpu_p99_us": percentile(costs, 99) / NANOSECONDS_PER_US,
        "warm_up_requests": warm_up, "samples": len(costs), "simulated_s": span,
        "control_cpu_share": control / 1e9 / span,  # the changes' part is added once it is known
    }


def _warm_up(simulation: Simulation, requests: int, enough: Callable[[], bool] = lambda: False) -> int:
    """Plays so many requests, or fewer if `enough`; how many they were."""
    before = simulation.arrived
    simulation.run(lambda: simulation.arrived - before >= requests or enough())
    return simulation.arrived - before


def _change(world: World, simulation: Simulation) -> Measures:
    """Changes of one entry, read and applied one after another."""
    budget = Budget(world.job.cpu_budget_s * CHANGES_SHARE)
    reads: list[float] = []
    sizes: list[int] = []
    costs: list[int] = []
    while len(costs) < LEAST_SAMPLES or (len(costs) < MOST_CHANGES and not budget.over()):
        body = world.list.change(simulation.now)
        sizes.append(len(body))
        before = time.thread_time_ns()
        backends = world.read(body)
        reads.append(time.thread_time_ns() - before)
        simulation.feed(BackendsChanged(ListKind.UPDATE, backends, world.list.version))
        costs.append(simulation.meter.last)
    return {
        "change_cpu_us": median(costs) / NANOSECONDS_PER_US,
        "change_cpu_p99_us": percentile(costs, 99) / NANOSECONDS_PER_US,
        "change_read_cpu_us": median(reads) / NANOSECONDS_PER_US,
        "change_bytes": median(sizes), "change_samples": len(costs),
    }


def measure_operations(job: Job) -> Measurement:
    """Calls of functions per request and per change: the same in each run of the same text."""
    world = World(job, job.sizes.backends)
    meter = CallMeter(world.gateway())
    simulation = world.simulation(meter)
    simulation.feed(world.whole_list(ListKind.RESTORED))
    world.begin_requests(simulation)
    meter.on = True
    _warm_up(simulation, 1)
    meter.on = False
    calls_of_one = max(1, meter.last)
    warm_up = _warm_up(simulation, max(1, min(job.warm_up_requests, WARM_UP_CALLS // calls_of_one)))
    samples = max(LEAST_SAMPLES, min(job.operation_samples, MEASURED_CALLS // calls_of_one))
    account = simulation.account
    meter.on = simulation.measuring = True
    simulation.run(lambda: account.requests >= samples)
    simulation.measuring = False
    simulation.drain()
    changes: list[int] = []
    for _ in range(OPERATION_CHANGES):
        simulation.feed(world.next_change(simulation.now))
        changes.append(meter.last)
    costs = account.request_costs
    return Measurement(measures={
        "request_calls_p50": float(np.percentile(costs, 50)),
        "request_calls_p99": float(np.percentile(costs, 99)),
        "change_calls": median(changes),
        "operation_warm_up_requests": warm_up, "operation_samples": len(costs),
    })


def measure_memory(job: Job) -> Measurement:
    """Memory by tracemalloc: of a backend, a tenant and an open request, and at most while a list is read."""
    tracemalloc.start()
    world = World(job, job.sizes.backends)
    measures = _memory_of_list(world) | _memory_of_requests(job)
    tracemalloc.stop()
    return Measurement(measures=measures)


def _traced() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def _memory_of_list(world: World) -> Measures:
    body = world.list.whole()
    gateway = world.gateway()
    simulation = world.simulation(CpuMeter(gateway))
    before = _traced()
    tracemalloc.reset_peak()
    event = world.whole_list(ListKind.RESTORED)
    peak = tracemalloc.get_traced_memory()[1] - before - len(body)
    simulation.feed(event)
    del event
    return {"memory_per_backend_bytes": (_traced() - before) / world.job.sizes.backends,
            "list_read_peak_mb": peak / MEGABYTE}


def _memory_of_requests(job: Job) -> Measures:
    """On a gateway with few backends: each tenant asks once and is answered, then requests stay open."""
    world = World(job, MEMORY_BACKENDS)
    gateway = world.gateway()
    gateway.handle(START, world.whole_list(ListKind.RESTORED))
    before = _traced()
    requests = one_request_each(job.sizes, world.settings, world.demand)
    for number, request in enumerate(requests):
        now = START + number / job.sizes.requests_per_s
        for send in _sends(gateway.handle(now, request)):
            answer = AttemptEnded(id=send.id, attempt=0, backend=send.backend, outcome=Outcome.OK,
                                  latency=ANSWER_S, finished=True)
            gateway.handle(now, answer)
    with_tenants = _traced()
    open_requests = 0
    for arrival in islice(arrivals(job.sizes, world.settings, world.demand, now, job.seed), MOST_OPEN):
        open_requests += len(_sends(gateway.handle(arrival.at, arrival.request)))
    return {
        "memory_per_tenant_bytes": (with_tenants - before) / job.sizes.tenants_here,
        "memory_per_open_request_bytes": (_traced() - with_tenants) / max(1, open_requests),
    }


def _sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def measure_counter(job: Job) -> Measurement:
    """The calls to the counter and the waits for it, over a time in which buckets run low.

    All ingresses that the tenants meet are simulated, each with its own decision module: what one of them
    tells the counter bears on the questions of the others.
    """
    counter = World(job, COUNTER_BACKENDS).counter(job.sizes.spread)
    siblings = [_begin_sibling(job, number, counter) for number in range(job.sizes.spread)]
    warm_at = START + COUNTER_WARM_UP_S
    _run_side_by_side(siblings, START, warm_at)
    for simulation in siblings:
        simulation.measuring = True
    _run_side_by_side(siblings, warm_at, warm_at + COUNTER_MEASURED_S)
    for simulation in siblings:
        simulation.measuring = False
        simulation.drain()
    return Measurement(measures=_counter_measures(job, [simulation.account for simulation in siblings]))


def _begin_sibling(job: Job, number: int, counter: CounterStandIn) -> Simulation:
    world = World(job, COUNTER_BACKENDS, number)
    simulation = world.simulation(CpuMeter(world.gateway()), counter)
    simulation.feed(world.whole_list(ListKind.RESTORED))
    world.begin_requests(simulation)
    return simulation


def _run_side_by_side(siblings: list[Simulation], start: float, end: float) -> None:
    """Plays the simulations in short turns, shorter than the counter takes to answer."""
    for step in range(1, round((end - start) / TURN_S) + 1):
        for simulation in siblings:
            simulation.run_until(start + step * TURN_S)


def _counter_measures(job: Job, accounts: list[Account]) -> Measures:
    span = COUNTER_MEASURED_S * len(accounts)
    requests = sum(account.requests for account in accounts)
    calls = sum(account.counter_calls for account in accounts)
    unanswered = sum(account.counter_unanswered for account in accounts)
    waits_ms = [1000 * wait for account in accounts for wait in account.waits_s]
    return {
        "counter_calls_per_request": calls / requests,
        "counter_calls_per_s_fleet": calls / span * job.sizes.ingresses,
        "counter_wait_share": len(waits_ms) / requests,
        "counter_wait_p50_ms": float(np.percentile(waits_ms or [0.0], 50)),
        "counter_wait_p99_ms": float(np.percentile(waits_ms or [0.0], 99)),
        "counter_unanswered_share": unanswered / max(1, calls),
        "counter_refused_share": sum(account.refused for account in accounts) / requests,
        "counter_bytes_per_s": sum(account.counter_bytes for account in accounts) / span,
        "tenants_here": job.sizes.tenants_here,
    }


PASSES: dict[Pass, Callable[[Job], Measurement]] = {
    Pass.TIMES: measure_times,
    Pass.OPERATIONS: measure_operations,
    Pass.MEMORY: measure_memory,
    Pass.COUNTER: measure_counter,
}
