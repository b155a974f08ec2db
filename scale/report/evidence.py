"""Answers what the saved results say of a measure at the target sizes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Literal

from scale.report.figures import MISSING, Figure, Mark
from scale.report.fits import Estimate, Growth
from scale.report.targets import DIMENSIONS
from scale.report.versions import Picked, Saved

Version = Literal["before", "after"]


def _figure(estimate: Estimate, files: tuple[str, ...]) -> Figure:
    mark = Mark.MEASURED if estimate.measured else Mark.EXTRAPOLATED
    return Figure(mark, estimate.value, estimate.low, estimate.high, files)


class Evidence:
    """The picked results, asked for one figure at a time."""

    def __init__(self, picked: Picked, targets: Mapping[str, float] = DIMENSIONS) -> None:
        self.picked, self.targets = picked, targets

    def run(self, dimension: str, version: Version = "after") -> Saved | None:
        """The run of a sweep on one of the two commits."""
        sweep = self.picked.sweeps.get(dimension)
        return None if sweep is None else sweep.runs().get(version)

    def growth(self, dimension: str, measure: str, version: Version = "after") -> Growth | None:
        """How a measure grows over a dimension; None if that was not measured."""
        run = self.run(dimension, version)
        return None if run is None else run.growth(measure)

    def at_target(self, dimension: str, measure: str, version: Version = "after") -> Figure:
        """A measure at the target of one dimension, the other sizes as in the sweep."""
        return self.at(dimension, measure, self.targets.get(dimension, 0.0), version)

    def at(self, dimension: str, measure: str, size: float, version: Version = "after") -> Figure:
        """A measure at some size of one dimension."""
        run, growth = self.run(dimension, version), self.growth(dimension, measure, version)
        if run is None or growth is None or size <= 0:
            return MISSING
        return _figure(growth.estimate(size), (run.file,))

    def together(self, measure: str, *dimensions: str, version: Version = "after") -> Figure:
        """A measure with several sizes at their targets at once.  The sweeps vary one size each, so the
        value is the costliest of them, and the high end adds what the others grow by."""
        found = []
        for dimension in dimensions:
            growth = self.growth(dimension, measure, version)
            figure = self.at_target(dimension, measure, version)
            if growth is not None and figure.mark is not Mark.MISSING:
                found.append((figure, max(0.0, figure.high - growth.costs[0])))
        if not found:
            return MISSING
        largest, own_growth = max(found, key=lambda each: each[0].value)
        others = sum(growth for _, growth in found) - own_growth
        files = tuple(file for figure, _ in found for file in figure.files)
        return Figure(Mark.EXTRAPOLATED, largest.value, largest.low, largest.high + others, files)

    def gives_out(
        self, dimension: str, measure: str, limit: float, version: Version = "after"
    ) -> Figure | None:
        """The size at which a measure passes a limit; None if its fits never do."""
        run, growth = self.run(dimension, version), self.growth(dimension, measure, version)
        if run is None or growth is None:
            return MISSING
        estimate = growth.size_for(limit)
        return None if estimate is None else _figure(estimate, (run.file,))

    def scenario(self, measure: str) -> Figure:
        """A measure as the newest scenario that has it told it last, at that scenario's sizes."""
        runs = sorted(self.picked.scenarios.values(), key=lambda saved: saved.result.taken_at)
        for saved in reversed(runs):
            values = [point.measures[measure] for point in saved.result.points if measure in point.measures]
            if values:
                return Figure(Mark.MEASURED, values[-1], values[-1], values[-1], (saved.file,))
        return MISSING
