"""Tables in Markdown."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from scale.report.evidence import Evidence
from scale.report.figures import Mark, number
from scale.report.fits import Growth, Line, PowerLaw
from scale.report.limits import Limit
from scale.report.measures import MEASURES
from scale.report.roles import Row, short
from scale.report.targets import DIMENSIONS, Entry


def markdown(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def role_table(rows: Iterable[Row]) -> str:
    """The table of one role."""
    return markdown(
        ["what", "ordinary day", "worst minute", "asked for", "mark", "from"], [row.cells() for row in rows]
    )


def limit_table(limits: Iterable[Limit]) -> str:
    """The table of what gives out."""
    return markdown(
        ["", "what", "gives out at", "on the way, ingresses", "mark", "limit", "from"],
        [[str(place), *limit.cells()] for place, limit in enumerate(limits, start=1)],
    )


def figure_table(entries: Iterable[Entry]) -> str:
    """The table of figures asked for or told."""
    return markdown(
        ["what", "figure"],
        [[each.meaning, f"{number(each.value, 3)} {each.unit}".strip()] for each in entries],
    )


def describe_growth(growth: Growth | None) -> str:
    """How a measure grows, in a few characters: the exponent, or the slope of the line."""
    if growth is None:
        return "not measured"
    chosen: Line | PowerLaw = growth.chosen
    if isinstance(chosen, PowerLaw):
        return f"n^{chosen.exponent:.2f}, r² {chosen.r2:.2f}"
    return f"{number(chosen.base)} + {number(chosen.slope)} n, r² {chosen.r2:.2f}"


def slope_table(evidence: Evidence, dimension: str) -> str:
    """The growth of each measure over one dimension, before and after."""
    rows = []
    for name, measure in MEASURES.items():
        if dimension not in measure.sweeps:
            continue
        before = evidence.at_target(dimension, name, "before")
        after = evidence.at_target(dimension, name)
        if Mark.MISSING is before.mark and Mark.MISSING is after.mark and dimension in evidence.picked.sweeps:
            continue
        rows.append(
            [
                measure.text,
                describe_growth(evidence.growth(dimension, name, "before")),
                describe_growth(evidence.growth(dimension, name)),
                before.text(measure.unit),
                after.text(measure.unit),
                str(after.mark),
            ]
        )
    runs = evidence.picked.sweeps[dimension].runs() if dimension in evidence.picked.sweeps else {}
    files = "; ".join(f"{name}: {short(run.file)} (commit {run.version})" for name, run in runs.items())
    target = f"{number(DIMENSIONS[dimension], 3)}"
    head = ["what", "grows, before", "grows, after", f"before, at {target}", f"after, at {target}", "mark"]
    return markdown(head, rows) + f"\n\nFrom: {files or 'no run yet, *missing*'}."
