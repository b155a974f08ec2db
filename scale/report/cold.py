"""The capacity page's table of cold starts."""

from __future__ import annotations

from scale.cold.table import COLUMN_TITLES, format_row
from scale.report.rows import result_link
from scale.report.tables import markdown_table
from scale.report.versions import SavedResult


def cold_start_table(saved: SavedResult | None) -> str:
    """Return the table of requests that cold backends received per window, relative to their budget.

    The rows are the points of the newest run of `scale cold`.
    """
    if saved is None:
        return "Not measured: *missing*."
    rows = [format_row(point) for point in saved.result.points]
    return (
        f"{markdown_table(COLUMN_TITLES, rows)}\n\nFrom {result_link(saved.file_name)}, "
        f"commit {saved.commit_label}."
    )
