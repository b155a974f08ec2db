"""The sweeps: each changes one size of the fleet and keeps the others at a base value.

The acceptance sweep changes two: the backends and the ingresses.
"""

from __future__ import annotations

from dataclasses import dataclass

from scale.slopes.job import SPREAD, Pass, Sizes

FULL_FLEET_INGRESSES = 3_400
TENANTS_PER_INGRESS = 500
SHORT_SWEEP_POINTS = 3
CPU_PASSES = (Pass.TIMES, Pass.OPERATIONS)
CPU_AND_MEMORY_PASSES = (*CPU_PASSES, Pass.MEMORY)


@dataclass(frozen=True, slots=True)
class Sweep:
    """The passes of a sweep and the sizes at which they run; most names begin with the size that varies."""

    name: str
    passes: tuple[Pass, ...]
    sizes: tuple[Sizes, ...]


def build_sizes(**changes: float) -> Sizes:
    """Return the base sizes with some changes.

    The number of tenants is proportional to that of the ingresses, unless it is given.
    """
    ingresses = int(changes.get("ingresses", 400))
    defaults: dict[str, float] = {
        "backends": 2_000,
        "ingresses": ingresses,
        "tenants": TENANTS_PER_INGRESS * ingresses // SPREAD,
        "services": 6,
        "changes_per_s": 0.4,
        "requests_per_s": 676.0,
    }
    return Sizes.model_validate(defaults | changes)


def _build_backends_sweep() -> Sweep:
    counts = (200, 600, 2_000, 6_000, 20_000, 60_000, 200_000)
    return Sweep(
        "backends",
        CPU_AND_MEMORY_PASSES,
        tuple(build_sizes(backends=count, ingresses=FULL_FLEET_INGRESSES) for count in counts),
    )


def _build_ingresses_sweep(name: str, backends: int, passes: tuple[Pass, ...]) -> Sweep:
    counts = (34, 100, 340, 1_000, FULL_FLEET_INGRESSES)
    return Sweep(name, passes, tuple(build_sizes(ingresses=count, backends=backends) for count in counts))


def _build_tenants_sweep() -> Sweep:
    counts = (5_900, 19_000, 59_000, 190_000, 590_000)
    return Sweep(
        "tenants",
        (*CPU_AND_MEMORY_PASSES, Pass.COUNTER),
        tuple(build_sizes(tenants=count, ingresses=FULL_FLEET_INGRESSES) for count in counts),
    )


def _build_services_sweep() -> Sweep:
    """Vary the request classes in the settings; the decision module knows services in no other form yet."""
    counts = (6, 20, 60, 200, 600)
    return Sweep("services", CPU_AND_MEMORY_PASSES, tuple(build_sizes(services=count) for count in counts))


def _build_changes_sweep() -> Sweep:
    rates = (0.4, 1.2, 4.0, 12.0, 40.0)
    return Sweep("changes_per_s", CPU_PASSES, tuple(build_sizes(changes_per_s=rate) for rate in rates))


def _build_acceptance_sweep() -> Sweep:
    fleet_sizes = (
        (200, 40),
        (200, 200),
        (200, FULL_FLEET_INGRESSES),
        (2_000, FULL_FLEET_INGRESSES),
        (20_000, FULL_FLEET_INGRESSES),
        (200_000, FULL_FLEET_INGRESSES),
    )
    return Sweep(
        "acceptance",
        CPU_PASSES,
        tuple(build_sizes(backends=backends, ingresses=ingresses) for backends, ingresses in fleet_sizes),
    )


SWEEPS: dict[str, Sweep] = {
    sweep.name: sweep
    for sweep in (
        _build_acceptance_sweep(),
        _build_backends_sweep(),
        _build_ingresses_sweep("ingresses", 2_000, (*CPU_PASSES, Pass.COUNTER)),
        _build_ingresses_sweep("ingresses-at-200-backends", 200, CPU_PASSES),
        _build_tenants_sweep(),
        _build_services_sweep(),
        _build_changes_sweep(),
    )
}


def shorten_sweep(sweep: Sweep) -> Sweep:
    """Return a sweep with only the first points, for a quick look; fits need the whole sweep."""
    return Sweep(sweep.name, sweep.passes, sweep.sizes[:SHORT_SWEEP_POINTS])
