"""The table of the discovery agent that runs on an ingress's machine."""

from __future__ import annotations

from scale.report.figures import computed_figure
from scale.report.loads import DAY_CHANGES_PER_S, WORST_MINUTE_CHANGES_PER_S
from scale.report.roles.sources import BYTES_PER_MEGABYTE, Sources, change_traffic_cells
from scale.report.rows import NOT_MEASURED, Cell, Row, same_cells
from scale.report.targets import TARGETS


def rows(sources: Sources) -> list[Row]:
    """Return the rows of the table."""
    change_bytes = sources.evidence.estimate_at_target("backends", "change_bytes")
    complete_list_bytes = sources.evidence.estimate_at_target("backends", "list_bytes")
    return [
        Row(
            "state: the complete list, as text",
            *same_cells(complete_list_bytes, "MB", 1 / BYTES_PER_MEGABYTE),
        ),
        Row(
            "changes that come in",
            Cell(computed_figure(DAY_CHANGES_PER_S), "/s"),
            Cell(computed_figure(WORST_MINUTE_CHANGES_PER_S), "/s"),
            "in force within 4 s",
        ),
        Row("bytes that come in", *change_traffic_cells(change_bytes)),
        Row("watch calls at all agents together", *sources.watch_call_cells(TARGETS.ingresses)),
        Row("processor time and memory", *NOT_MEASURED),
    ]
