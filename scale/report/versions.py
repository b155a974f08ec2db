"""Select the runs that the page shows: sweeps on two commits, and the newest scenarios and cold starts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from scale.report.fits import Growth, fit_growth
from scale.report.targets import dimension_of
from scale.results import Result, load_result

# File that lists commits, one per line, oldest first.  Commits that it does not list count as newer.
COMMIT_ORDER_FILE = "commits.txt"


@dataclass(frozen=True, slots=True)
class SavedResult:
    """A result and the name of its file."""

    file_name: str
    result: Result

    @property
    def commit_label(self) -> str:
        """Return the abbreviated commit, with a note if there were uncommitted changes."""
        return self.result.commit[:7] + (" with uncommitted changes" if self.result.dirty else "")

    @property
    def dimension(self) -> str:
        """Return the dimension that the sweep varies."""
        return dimension_of(self.result.name)

    def fit_growth(self, measure: str) -> Growth | None:
        """Fit a measure over the dimension that the sweep varies; None if there are too few points."""
        dimension = self.dimension
        return fit_growth(
            [
                (point.sizes[dimension], point.measures[measure])
                for point in self.result.points
                if dimension in point.sizes and measure in point.measures
            ]
        )

    def list_measure_names(self) -> list[str]:
        """Return the names of all measures, sorted."""
        return sorted({name for point in self.result.points for name in point.measures})


@dataclass(frozen=True, slots=True)
class Sweep:
    """The runs of one sweep on the oldest and the newest commit; a single run is stored as `after`."""

    name: str
    after: SavedResult
    before: SavedResult | None = None

    @property
    def dimension(self) -> str:
        """Return the dimension that the sweep varies."""
        return dimension_of(self.name)

    def runs_by_version(self) -> dict[str, SavedResult]:
        """Return the runs by "before" and "after", the older one first."""
        return ({} if self.before is None else {"before": self.before}) | {"after": self.after}


@dataclass(frozen=True, slots=True)
class SelectedRuns:
    """The runs that the page and the plots show: sweeps and scenarios by name, and cold starts."""

    sweeps: dict[str, Sweep] = field(default_factory=dict)
    scenarios: dict[str, SavedResult] = field(default_factory=dict)
    cold_starts: SavedResult | None = None  # the run of cold starts on the newest commit


def read_saved_results(folder: Path) -> list[SavedResult]:
    """Load all results of a folder, the oldest first."""
    saved_results = [SavedResult(path.name, load_result(path)) for path in sorted(folder.glob("*.json"))]
    return sorted(saved_results, key=lambda saved: (saved.result.taken_at, saved.file_name))


def read_commit_order(folder: Path) -> list[str]:
    """Read the commits that the order file lists, oldest first; an empty list if there is no such file."""
    path = folder / COMMIT_ORDER_FILE
    if not path.exists():
        return []
    return [
        line.split()[0]
        for line in path.read_text(encoding="utf-8").splitlines()
        if line.strip() and not line.startswith("#")
    ]


def _commit_position(commit: str, order: list[str]) -> int:
    """Return the position of a commit in the order; one that is not listed comes last."""
    return next((position for position, prefix in enumerate(order) if commit.startswith(prefix)), len(order))


def _select_newest_runs(saved_results: Iterable[SavedResult], order: list[str]) -> list[SavedResult]:
    """Return the newest run of each commit, sorted by the commit order, then by each commit's first run."""
    newest: dict[str, SavedResult] = {}
    for saved in saved_results:
        newest[saved.result.commit] = saved
    return sorted(newest.values(), key=lambda saved: _commit_position(saved.result.commit, order))


def select_runs(saved_results: list[SavedResult], order: list[str]) -> SelectedRuns:
    """Select each sweep's runs on its oldest and newest commit, and the newest scenarios and cold starts."""
    groups: dict[tuple[str, str], list[SavedResult]] = {}
    for saved in saved_results:
        groups.setdefault((saved.result.kind, saved.result.name), []).append(saved)
    sweeps, scenarios, cold_starts = {}, {}, None
    for (kind, name), group in sorted(groups.items()):
        runs = _select_newest_runs(group, order)
        if kind == "run":
            scenarios[name] = runs[-1]
        elif kind == "cold":
            cold_starts = runs[-1]
        else:
            sweeps[name] = Sweep(name, runs[-1], runs[0] if len(runs) > 1 else None)
    return SelectedRuns(sweeps, scenarios, cold_starts)
