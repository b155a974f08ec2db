"""Ratios of a measure between two fleet sizes of the acceptance sweep, before and after."""

from __future__ import annotations

from dataclasses import dataclass

from scale.report.evidence import Evidence, Version
from scale.report.figures import MISSING, Figure, Mark
from scale.report.measures import MEASURES

ACCEPTANCE_SWEEP = "acceptance"


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The numbers of backends and ingresses of a fleet."""

    backends: int
    ingresses: int

    def __str__(self) -> str:
        return f"{self.backends:,} backends and {self.ingresses:,} ingresses"


@dataclass(frozen=True, slots=True)
class Ratio:
    """A measure whose cost in a large fleet is divided by that in a small one."""

    measure: str
    large: FleetSize
    small: FleetSize

    def __str__(self) -> str:
        return f"{MEASURES[self.measure].label}: {self.large} to {self.small}"


LARGE_FLEET_INGRESSES = 3_400
SMALL_FLEET_INGRESSES = 40
RATIOS = tuple(
    [
        Ratio(measure, FleetSize(20_000, LARGE_FLEET_INGRESSES), FleetSize(200, LARGE_FLEET_INGRESSES))
        for measure in ("request_cpu_p50_us", "request_cpu_p99_us", "request_calls_p50", "request_calls_p99")
    ]
    + [
        Ratio(measure, FleetSize(20_000, LARGE_FLEET_INGRESSES), FleetSize(200, SMALL_FLEET_INGRESSES))
        for measure in ("change_cpu_us", "change_calls")
    ]
)


def measured_ratio(evidence: Evidence, ratio: Ratio, version: Version) -> Figure:
    """Return the ratio on the older or the newer commit; MISSING if either fleet size was not measured."""
    run = evidence.find_run(ACCEPTANCE_SWEEP, version)
    if run is None:
        return MISSING
    costs = {
        FleetSize(
            int(point.sizes.get("backends", 0)), int(point.sizes.get("ingresses", 0))
        ): point.measures.get(ratio.measure)
        for point in run.result.points
    }
    large, small = costs.get(ratio.large), costs.get(ratio.small)
    if large is None or not small:
        return MISSING
    return Figure(Mark.MEASURED, large / small, large / small, large / small, (run.file_name,))
