"""The page's tables of the runs, and of costs on the older and the newer commit."""

from __future__ import annotations

from scale.report.evidence import Evidence, Version
from scale.report.figures import Figure, Mark, format_number
from scale.report.measures import MEASURES
from scale.report.ratios import RATIOS, measured_ratio
from scale.report.rows import result_link
from scale.report.tables import markdown_table
from scale.report.targets import DIMENSION_TARGETS
from scale.report.versions import SavedResult, SelectedRuns

VERSIONS: tuple[Version, Version] = ("before", "after")
MECHANISM_DIMENSIONS = ("backends", "ingresses")
MECHANISM_MEASURES = ("change_cpu_us", "list_apply_cpu_ms", "start_cpu_ms", "request_cpu_p50_us")


def mechanism_table(evidence: Evidence) -> str:
    """Return the table of the costs that the bounded subset should lower: before, after and ratio."""
    rows = [
        _mechanism_row(evidence, dimension, measure)
        for dimension in MECHANISM_DIMENSIONS
        for measure in MECHANISM_MEASURES
    ]
    return markdown_table(["what", "before", "after", "before over after", "mark", "from"], rows)


def _mechanism_row(evidence: Evidence, dimension: str, measure: str) -> list[str]:
    """Return the row of one measure over one dimension."""
    before = evidence.estimate_at_target(dimension, measure, "before")
    after = evidence.estimate_at_target(dimension, measure)
    description = MEASURES[measure]
    has_ratio = Mark.MISSING not in (before.mark, after.mark) and after.value > 0
    return [
        f"{description.label}, {format_number(DIMENSION_TARGETS[dimension], 3)} {dimension}",
        before.format(description.unit),
        after.format(description.unit),
        f"{format_number(before.value / after.value)} times" if has_ratio else "-",
        str(max(before.mark, after.mark)),
        _format_links(before, after),
    ]


def ratio_table(evidence: Evidence) -> str:
    """Return the table of cost ratios between the large and the small fleet, before and after."""
    rows = []
    for ratio in RATIOS:
        before, after = (measured_ratio(evidence, ratio, version) for version in VERSIONS)
        rows.append(
            [
                str(ratio),
                before.format("times"),
                after.format("times"),
                str(after.mark),
                _format_links(before, after),
            ]
        )
    return markdown_table(["what", "before", "after", "mark", "from"], rows)


def _format_links(before: Figure, after: Figure) -> str:
    """Return links to the result files of two figures."""
    return ", ".join(map(result_link, before.files + after.files)) or "-"


def run_table(selected: SelectedRuns) -> str:
    """Return the table of the runs behind the page, with the load that other processes put on the machine."""
    runs: list[SavedResult] = []
    for sweep in selected.sweeps.values():
        runs += sweep.runs_by_version().values()
    runs += selected.scenarios.values()
    runs += [selected.cold_starts] if selected.cold_starts is not None else []
    rows = [_run_row(saved) for saved in runs]
    if not rows:
        return "No run is saved yet: all that needs one is *missing*."
    return markdown_table(["run", "commit", "taken", "points", "cores", "others' cores", "note"], rows)


def _run_row(saved: SavedResult) -> list[str]:
    """Return the row of one run."""
    result = saved.result
    return [
        result_link(saved.file_name),
        saved.commit_label,
        f"{result.taken_at:%Y-%m-%d %H:%M}",
        str(len(result.points)),
        str(result.environment.cores),
        format_number(result.environment.busy_others_cores),
        result.environment.note or "-",
    ]
