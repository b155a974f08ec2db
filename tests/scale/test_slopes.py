"""Tests of sweeps: the stand-ins, the repeatability of operation counts, and the child processes."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

import psutil
import pytest

from ingress.interface import IncrementCounter, Outcome, Readiness
from scale.project import TOOL_ROOT
from scale.slopes import runner as runner_module
from scale.slopes.counter import CounterStandIn
from scale.slopes.job import CounterModel, Job, Pass
from scale.slopes.listing import BackendList, find_decoder
from scale.slopes.passes.memory import measure_memory
from scale.slopes.passes.operations import measure_operations
from scale.slopes.runner import MeasuringChildError, SweepRunner, run_job
from scale.slopes.settings import build_settings
from scale.slopes.sweeps import SWEEPS, Sweep, build_sizes, shorten_sweep
from scale.slopes.tables import build_sweep_table
from scale.slopes.tenants import build_demand
from scale.slopes.traffic import generate_arrivals

SMALL_SIZES = build_sizes(backends=200, ingresses=6, tenants=30)


def test_operation_counts_are_repeatable_and_grow_little_with_the_backends() -> None:
    small_fleet = build_sizes(backends=200, ingresses=400, tenants=2_000)
    job = Job(measuring=Pass.OPERATIONS, sizes=small_fleet, warm_up_requests=30, operation_samples=10)
    few_backends, repeated = run_job(job, TOOL_ROOT).measures, run_job(job, TOOL_ROOT).measures
    assert few_backends == repeated
    assert few_backends["operation_samples"] >= 5
    large_fleet_job = job.model_copy(
        update={"sizes": build_sizes(backends=4_000, ingresses=400, tenants=2_000)}
    )
    many_backends = measure_operations(large_fleet_job).measures
    # With 20 times as many backends, a choice compares the 20 backends of a subset instead of 12, and a
    # change moves the 264 candidates of subset and reserve instead of 200.
    assert many_backends["request_calls_p50"] / few_backends["request_calls_p50"] <= 2.0
    assert many_backends["change_calls"] / few_backends["change_calls"] <= 2.0


def test_point_holds_the_measures_of_each_pass() -> None:
    sweep = Sweep("smoke", (Pass.TIMES, Pass.MEMORY), (SMALL_SIZES,))
    progress_calls: list[None] = []
    result = SweepRunner(TOOL_ROOT, 0.1).run(sweep, lambda: progress_calls.append(None))
    point = result.points[0]
    assert len(progress_calls) == 2
    assert point.sizes["backends"] == 200
    assert point.measures["samples"] >= 5
    assert point.measures["change_samples"] >= 5
    assert point.measures["request_cpu_p99_us"] >= point.measures["request_cpu_p50_us"] > 0
    assert point.measures["memory_per_backend_bytes"] > 0
    assert build_sweep_table(result).row_count > 5


def test_open_requests_and_tenants_take_memory() -> None:
    measures = measure_memory(Job(measuring=Pass.MEMORY, sizes=SMALL_SIZES)).measures
    assert measures["memory_per_tenant_bytes"] > 0
    assert measures["memory_per_open_request_bytes"] > 0


def test_failure_of_a_child_process_is_reported_in_one_line(tmp_path: Path) -> None:
    (tmp_path / "ingress").mkdir()
    (tmp_path / "ingress" / "__init__.py").write_text("raise RuntimeError('broken')", encoding="utf-8")
    with pytest.raises(MeasuringChildError, match="broken") as raised:
        run_job(Job(measuring=Pass.TIMES, sizes=SMALL_SIZES), tmp_path)
    assert "\n" not in str(raised.value)


def test_child_process_is_stopped_at_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_module, "MIN_TIMEOUT_S", 0.01)
    monkeypatch.setattr(runner_module, "TIMEOUT_BUDGETS", 0.0)
    with pytest.raises(MeasuringChildError, match="no measurement"):
        run_job(Job(measuring=Pass.TIMES, sizes=SMALL_SIZES), TOOL_ROOT)


def test_sweeps_change_one_size_by_a_factor_of_at_least_95() -> None:
    for name in ("backends", "ingresses", "tenants", "services", "changes_per_s"):
        sizes = [getattr(size, name) for size in SWEEPS[name].sizes]
        assert len(set(sizes)) >= 5
        assert max(sizes) >= 95 * min(sizes)
    assert len(shorten_sweep(SWEEPS["backends"]).sizes) == 3


def test_demand_is_repeatable_and_requests_come_from_its_tenants() -> None:
    sizes = build_sizes(tenants=1_000, ingresses=30)
    demand = build_demand(sizes, 1)
    assert len(demand.tenants) == sizes.tenants_per_ingress == 100
    assert len({tenant.key for tenant in demand.tenants}) == 100
    assert demand == build_demand(sizes, 1)
    settings = build_settings(sizes, demand, 0)
    stream = generate_arrivals(sizes, settings, demand, 0.0, 1)
    requests = [next(stream).request for _ in range(500)]
    assert {request.customer for request in requests} <= {tenant.key for tenant in demand.tenants}
    assert {request.first_instance for request in requests} == {settings.instance_index}


def test_counter_adds_and_rejects_calls_when_its_queue_is_full() -> None:
    counter = CounterStandIn(CounterModel(jitter_s=1e-6), SMALL_SIZES, 1, 0.05, 1)
    first = counter.call(1.0, IncrementCounter(name=7, add=2.0, lifetime=60.0))
    second = counter.call(1.1, IncrementCounter(name=7, add=-0.5, lifetime=60.0))
    assert (first.reply.total, second.reply.total) == (2.0, 1.5)
    assert second.received_at == pytest.approx(1.1 + second.reply.latency)
    replies = [
        counter.call(2.0 + n / 10_000, IncrementCounter(name=7, add=1.0, lifetime=60.0))
        for n in range(10_000)
    ]
    assert {each.reply.outcome for each in replies} == {Outcome.OK, Outcome.TIMEOUT, Outcome.REJECTED}
    assert max(each.reply.latency for each in replies) <= 0.05


def test_list_is_decoded_as_it_was_encoded_and_keeps_its_length() -> None:
    backend_list, decode = BackendList(50, 1), find_decoder()
    assert len(decode(backend_list.encode_complete_list())) == 50
    changed_backends = [decode(backend_list.encode_next_change(1_000.0))[0] for _ in range(8)]
    assert [backend.readiness for backend in changed_backends[:3]] == [
        Readiness.READY,
        Readiness.DRAINING,
        Readiness.REMOVED,
    ]
    assert changed_backends[1].id == changed_backends[2].id
    assert changed_backends[3].started == 1_000.0
    assert len(json.loads(backend_list.encode_complete_list())["servers"]) == 50


def test_child_processes_end_when_the_sweep_is_terminated(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "scale", "slopes", "--dimension", "services", "--out", str(tmp_path)]
    with subprocess.Popen(command, cwd=TOOL_ROOT, stderr=subprocess.DEVNULL) as sweep:
        process, give_up_at = psutil.Process(sweep.pid), time.monotonic() + 60.0
        while not (children := process.children()) and time.monotonic() < give_up_at:
            time.sleep(0.01)
        sweep.terminate()
        assert sweep.wait(60.0) != 0
    _, alive = psutil.wait_procs(children, timeout=10.0)
    assert children
    assert not alive
