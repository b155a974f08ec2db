"""Estimate the resources that a run needs, and reject a run for which the machine lacks them."""

from __future__ import annotations

import resource
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import psutil

from scale.errors import ScaleError
from scale.scenario import Scenario

TOOL_ROOT = Path(__file__).resolve().parent.parent
MIB = 2**20  # bytes
GIB = 2**30  # bytes
MAX_MEMORY_BYTES = 12 * GIB  # limit for all processes of a run together
MAX_PROCESSES = 200
MEMORY_SHARE = 0.8  # share of the available memory that a run may use, so that other processes have the rest
RUNNER_BYTES = 120 * MIB  # memory of the process that runs the scenario
WORKER_BYTES = 70 * MIB  # memory of a worker process without its hollow ingresses
SERVER_BYTES = 80 * MIB  # memory of the process of all backends, and likewise of all clients
REAL_INGRESS_BYTES = 80 * MIB
TENANT_BYTES = 2000  # memory of one tenant's state at one ingress
LISTENER_BYTES = 8192  # memory of one listener of a backend
BACKEND_BYTES = 2 * 1024  # memory of one backend in the list of a real ingress
SPARE_DESCRIPTORS = 64  # descriptors of a process that are not connections or listeners
MAX_COUNTER_CONNECTIONS = 8  # connections that one ingress may open to the counter
REQUESTS_PER_COUNTER_CONNECTION = 5  # requests a second; beyond that an ingress opens another connection
MAX_BACKEND_CONNECTIONS = 300  # connections that one real ingress may open to backends
MAX_LISTENERS = 4000  # with more backends than this, several backends share a listener
PROBE_TIMEOUT_S = 120.0


class InsufficientResourcesError(ScaleError):
    """The machine lacks a resource that the run needs; the message names the resource."""


@dataclass(frozen=True, slots=True)
class ResourceNeeds:
    """The resources that a run needs."""

    memory: int  # bytes, of all processes together
    processes: int
    files: int  # file descriptors of the process that needs most


@dataclass(frozen=True, slots=True)
class Machine:
    """The resources that the machine offers to a run."""

    memory: int  # bytes that are available
    files: int  # file descriptors that one process may open

    @classmethod
    def current(cls) -> Machine:
        """Return the resources of this machine that are available now."""
        return cls(psutil.virtual_memory().available, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def count_listeners(scenario: Scenario) -> int:
    """Return the number of backend listeners, which is 0 where no real ingress connects to them."""
    return min(scenario.sizes.backends, MAX_LISTENERS) if scenario.sizes.real else 0


def estimate_needs(scenario: Scenario, hollow_bytes: int) -> ResourceNeeds:
    """Estimate the needs of a scenario from the bytes of one hollow ingress with its endpoint list."""
    sizes = scenario.sizes
    listeners = count_listeners(scenario)
    max_spread = max(plan.spread for plan in scenario.plans)
    tenants_per_ingress = min(
        sizes.tenants * max_spread / sizes.ingresses, sizes.requests_per_s * scenario.duration_s + 1
    )
    hollow_memory = sizes.hollow * round(hollow_bytes + tenants_per_ingress * TENANT_BYTES)
    server_processes = 2 if sizes.real else 0
    workers = min(sizes.workers, sizes.hollow)
    memory = (
        RUNNER_BYTES
        + workers * WORKER_BYTES
        + hollow_memory
        + server_processes * SERVER_BYTES
        + listeners * LISTENER_BYTES
        + sizes.real * (REAL_INGRESS_BYTES + sizes.backends * BACKEND_BYTES)
    )
    hollow_per_worker = -(-sizes.hollow // workers) if workers else 0
    counter_connections = 1 + min(
        MAX_COUNTER_CONNECTIONS, 1 + round(sizes.requests_per_s / REQUESTS_PER_COUNTER_CONNECTION)
    )
    backend_descriptors = listeners + sizes.real * MAX_BACKEND_CONNECTIONS
    descriptors = SPARE_DESCRIPTORS + max(
        sizes.ingresses * counter_connections, hollow_per_worker * counter_connections, backend_descriptors
    )
    return ResourceNeeds(memory, 1 + workers + server_processes + sizes.real, descriptors)


def check_resources(needs: ResourceNeeds, machine: Machine) -> None:
    """Raise InsufficientResourcesError, with both figures, if the machine lacks a needed resource."""
    if needs.memory > MAX_MEMORY_BYTES:
        raise InsufficientResourcesError(
            f"memory: about {needs.memory / GIB:.1f} GiB are needed, a run may take "
            f"{MAX_MEMORY_BYTES / GIB:.0f} GiB; lower sizes.hollow or sizes.backends"
        )
    if needs.memory > MEMORY_SHARE * machine.memory:
        raise InsufficientResourcesError(
            f"memory: about {needs.memory / GIB:.1f} GiB are needed, "
            f"{machine.memory / GIB:.1f} GiB are available"
        )
    if needs.processes > MAX_PROCESSES:
        raise InsufficientResourcesError(
            f"processes: {needs.processes} are needed, a run may have {MAX_PROCESSES}"
        )
    if needs.files > machine.files:
        raise InsufficientResourcesError(
            f"descriptors: {needs.files} are needed in one process, the limit is {machine.files}"
        )


def measure_hollow_bytes(scenario_path: Path, project: Path) -> int:
    """Return the memory of one hollow ingress of the project, measured in a separate process."""
    arguments = [str(project), str(scenario_path.resolve())]
    command = [sys.executable, "-m", "scale.experiment.memory_probe", *arguments]
    try:
        completed = subprocess.run(
            command, cwd=TOOL_ROOT, capture_output=True, text=True, timeout=PROBE_TIMEOUT_S, check=True
        )
        return int(completed.stdout)
    except (subprocess.SubprocessError, ValueError) as error:
        detail = (getattr(error, "stderr", "") or str(error)).strip().splitlines()[-1:]
        raise InsufficientResourcesError(
            f"the memory of one hollow ingress can't be measured: {' '.join(detail)}"
        ) from None
