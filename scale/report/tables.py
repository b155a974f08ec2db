"""Tables of the page in Markdown."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from scale.report.evidence import Evidence
from scale.report.figures import format_number
from scale.report.fits import Growth, Line, PowerLaw
from scale.report.limit import Limit
from scale.report.measures import ALL_SWEEPS, MEASURES, SCENARIO_MEASURES
from scale.report.rows import Row, result_link
from scale.report.targets import DIMENSION_TARGETS, Entry, dimension_of
from scale.report.versions import SavedResult

EXPONENT_DECIMALS = 2


def markdown_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def role_table(rows: Iterable[Row]) -> str:
    """Return the table of one role."""
    return markdown_table(
        ["what", "ordinary day", "worst minute", "asked for", "mark", "from"],
        [row.format_cells() for row in rows],
    )


def limit_table(limits: Iterable[Limit]) -> str:
    """Return the table of the limits."""
    return markdown_table(
        ["", "what", "reached at", "on the way, ingresses", "mark", "limit", "from"],
        [[str(position), *limit.format_cells()] for position, limit in enumerate(limits, start=1)],
    )


def figure_table(entries: Iterable[Entry]) -> str:
    """Return the table of the targets or of the site's documented figures."""
    return markdown_table(
        ["what", "figure"],
        [[entry.meaning, f"{format_number(entry.value, 3)} {entry.unit}".strip()] for entry in entries],
    )


def scenario_table(evidence: Evidence) -> str:
    """Return the table of each scenario's newest run, with a column for each scenario."""
    runs = list(evidence.selected_runs.scenarios.values())
    if not runs:
        return "No scenario was run yet: *missing*."
    head = ["what", *(f"{result_link(run.file_name)}, {_describe_sizes(run)}" for run in runs)]
    rows = [[MEASURES[name].label, *(_last_value(run, name) for run in runs)] for name in SCENARIO_MEASURES]
    return markdown_table(head, rows)


def _describe_sizes(run: SavedResult) -> str:
    """Return the sizes of a scenario's fleet as text."""
    sizes = run.result.points[-1].sizes if run.result.points else {}
    shown_names = [name for name in ("ingresses", "backends", "tenants") if name in sizes]
    return ", ".join(f"{sizes[name]:,.0f} {name}" for name in shown_names)


def _last_value(run: SavedResult, measure: str) -> str:
    """Return the measure at the last point of a run that recorded it, as text."""
    values = [point.measures[measure] for point in run.result.points if measure in point.measures]
    if not values:
        return "not measured"
    return f"{format_number(values[-1])} {MEASURES[measure].unit}".strip()


def describe_growth(growth: Growth | None) -> str:
    """Return the better fit as short text: the exponent of a power law or the formula of a line, with r².

    A line whose measured costs hardly vary is shown as "level".
    """
    if growth is None:
        return "not measured"
    better_fit: Line | PowerLaw = growth.better_fit
    if isinstance(better_fit, PowerLaw):
        exponent = round(better_fit.exponent, EXPONENT_DECIMALS) + 0.0  # the sum turns -0.0 into 0.0
        return f"n^{exponent:.{EXPONENT_DECIMALS}f}, r² {better_fit.r2:.2f}"
    if not growth.is_varying:
        return "level"
    sign = "-" if better_fit.slope < 0 else "+"
    return (
        f"{format_number(better_fit.base)} {sign} "
        f"{format_number(abs(better_fit.slope))} n, r² {better_fit.r2:.2f}"
    )


def slope_table(evidence: Evidence, sweep: str) -> str:
    """Return the table of each measure's growth over one sweep, before and after."""
    target = format_number(evidence.target_of(sweep), 3)
    head = ["what", "grows, before", "grows, after", f"before, at {target}", f"after, at {target}", "mark"]
    rows = [
        _slope_row(evidence, sweep, name)
        for name, measure in MEASURES.items()
        if dimension_of(sweep) in measure.sweeps and evidence.fit_growth(sweep, name) is not None
    ]
    if not rows:
        return "Not measured: *missing*."
    files = "; ".join(
        f"{version}: {result_link(run.file_name)}"
        for version, run in evidence.selected_runs.sweeps[sweep].runs_by_version().items()
    )
    return f"{markdown_table(head, rows)}\n\nFrom {files}."


def _slope_row(evidence: Evidence, sweep: str, measure: str) -> list[str]:
    """Return the row of one measure in the table of a sweep."""
    before = evidence.estimate_at_target(sweep, measure, "before")
    after = evidence.estimate_at_target(sweep, measure)
    description = MEASURES[measure]
    return [
        description.label,
        describe_growth(evidence.fit_growth(sweep, measure, "before")),
        describe_growth(evidence.fit_growth(sweep, measure)),
        before.format(description.unit),
        after.format(description.unit),
        str(after.mark),
    ]


def slope_sections(evidence: Evidence) -> str:
    """Return a section for each sweep with a target.

    The sweeps named after a dimension come first, even if they were not run, then the others.
    """
    names = [
        name for name in DIMENSION_TARGETS if name in evidence.selected_runs.sweeps or name in ALL_SWEEPS
    ]
    names += [
        name for name in evidence.selected_runs.sweeps if name not in names and evidence.target_of(name)
    ]
    sections = [f"### {name.replace('_', ' ')}\n\n{slope_table(evidence, name)}" for name in names]
    return "\n\n".join(sections)
