"""The table of the results of `scale cold`, for the terminal and for the report page."""

from __future__ import annotations

from scale.results import Point

COLUMN_TITLES = (
    "ingresses",
    "backends",
    "load",
    "start",
    "last one told after",
    "admitted",
    "windows",
    "of the budget, mean",
    "most",
    "windows beyond the budget",
    "beyond chance",
    "beyond chance, untold ingresses too",
)


def format_row(point: Point) -> list[str]:
    """Return the cells of the row of a point, one for each column."""
    sizes = point.sizes
    measures = point.measures
    return [
        f"{sizes['ingresses']:g}",
        f"{sizes['backends']:g}",
        f"{sizes['load']:g}",
        "restarted" if sizes["restarted"] else "replaced",
        f"{sizes['longest_notice_s']:g} s",
        f"{measures['sent_share']:.0%}",
        f"{measures['told_windows']:g}",
        f"{measures['told_mean']:.2f}",
        f"{measures['told_most']:.2f}",
        f"{measures['told_beyond_budget']:g}",
        f"{measures['told_beyond_chance']:g}",
        f"{measures['all_beyond_chance']:g}",
    ]
