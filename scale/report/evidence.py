"""Look up measures in the saved results and estimate them at the target sizes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Literal

from scale.report.figures import MISSING, Figure, Mark
from scale.report.fits import Estimate, Growth
from scale.report.targets import DIMENSION_TARGETS, dimension_of
from scale.report.versions import SavedResult, SelectedRuns

MIN_TARGET_SHARE = 0.95  # a point with at least this share of a target size counts as measured at the target

Version = Literal["before", "after"]


def _figure_of(estimate: Estimate, files: tuple[str, ...]) -> Figure:
    """Return an estimate as a figure that names its result files."""
    mark = Mark.MEASURED if estimate.measured else Mark.EXTRAPOLATED
    return Figure(mark, estimate.value, estimate.low, estimate.high, files)


def _scenario_sort_key(saved: SavedResult) -> tuple[float, str]:
    """Return a sort key: the largest number of ingresses in a scenario's run, then its file name."""
    return max(
        (point.sizes.get("ingresses", 0.0) for point in saved.result.points), default=0.0
    ), saved.file_name


class Evidence:
    """Look-ups and estimates of figures in the selected results."""

    def __init__(self, selected: SelectedRuns, targets: Mapping[str, float] = DIMENSION_TARGETS) -> None:
        self.selected_runs = selected
        self.targets = targets

    def target_of(self, sweep: str) -> float:
        """Return the target of the dimension that a sweep varies; 0 if it has no target."""
        return self.targets.get(dimension_of(sweep), 0.0)

    def find_run(self, sweep: str, version: Version = "after") -> SavedResult | None:
        """Return the run of a sweep on the older or the newer commit; None if there is none."""
        runs = self.selected_runs.sweeps.get(sweep)
        return None if runs is None else runs.runs_by_version().get(version)

    def fit_growth(self, sweep: str, measure: str, version: Version = "after") -> Growth | None:
        """Return the fits of a measure over a sweep; None if it was not measured at enough sizes."""
        run = self.find_run(sweep, version)
        return None if run is None else run.fit_growth(measure)

    def estimate_at_target(self, sweep: str, measure: str, version: Version = "after") -> Figure:
        """Estimate a measure with one dimension at its target and the others as they are in the sweep."""
        run, growth = self.find_run(sweep, version), self.fit_growth(sweep, measure, version)
        target = self.target_of(sweep)
        if run is None or growth is None or target <= 0:
            return MISSING
        return _figure_of(growth.estimate(target), (run.file_name,))

    def estimate_at_targets(self, measure: str, *sweeps: str, version: Version = "after") -> Figure:
        """Estimate a measure with the dimensions of several sweeps all at their targets.

        If a point reaches all of these targets, its value is returned as measured.  Otherwise the value is
        that of the costliest sweep alone, and the high end of the range adds the growth of the other sweeps.
        """
        candidates = []
        for sweep in sweeps:
            run, growth = self.find_run(sweep, version), self.fit_growth(sweep, measure, version)
            if run is None or growth is None:
                continue
            measured = self._measured_at_targets(run, measure, sweeps)
            if measured is not None:
                return measured
            figure = self.estimate_at_target(sweep, measure, version)
            candidates.append((figure, max(0.0, figure.high - growth.costs[0])))
        if not candidates:
            return MISSING
        costliest, own_growth = max(candidates, key=lambda candidate: candidate[0].value)
        other_growth = sum(growth for _, growth in candidates) - own_growth
        files = tuple(file for figure, _ in candidates for file in figure.files)
        return Figure(Mark.EXTRAPOLATED, costliest.value, costliest.low, costliest.high + other_growth, files)

    def _measured_at_targets(self, run: SavedResult, measure: str, sweeps: tuple[str, ...]) -> Figure | None:
        """Return the measure at a point that reaches the targets of all sweeps; None if no point does."""
        for point in run.result.points:
            has_all_targets = all(
                point.sizes.get(dimension_of(sweep), 0.0) >= self.target_of(sweep) * MIN_TARGET_SHARE
                for sweep in sweeps
            )
            if has_all_targets and measure in point.measures:
                value = point.measures[measure]
                return Figure(Mark.MEASURED, value, value, value, (run.file_name,))
        return None

    def estimate_size_at_limit(
        self, sweep: str, measure: str, limit: float, version: Version = "after"
    ) -> Figure | None:
        """Estimate the size at which a measure exceeds a limit; None if the fits never exceed it."""
        run, growth = self.find_run(sweep, version), self.fit_growth(sweep, measure, version)
        if run is None or growth is None:
            return MISSING
        estimate = growth.size_for(limit)
        return None if estimate is None else _figure_of(estimate, (run.file_name,))

    def scenario_figure(self, measure: str) -> Figure:
        """Return a measure at the last point of the scenario with the largest fleet that recorded it."""
        runs = sorted(self.selected_runs.scenarios.values(), key=_scenario_sort_key)
        for saved in reversed(runs):
            values = [point.measures[measure] for point in saved.result.points if measure in point.measures]
            if values:
                return Figure(Mark.MEASURED, values[-1], values[-1], values[-1], (saved.file_name,))
        return MISSING
