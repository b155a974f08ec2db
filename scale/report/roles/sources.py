"""The data sources of the role tables, and cells that several of them share."""

from __future__ import annotations

from dataclasses import dataclass

from scale.report import model
from scale.report.constants import Constants
from scale.report.evidence import Evidence
from scale.report.figures import Figure
from scale.report.loads import DAY_CHANGES_PER_S, WORST_MINUTE_CHANGES_PER_S
from scale.report.rows import Cell

BYTES_PER_MEGABYTE = 1e6


@dataclass(frozen=True, slots=True)
class Sources:
    """The data sources of a role table: saved measurements and constants of the code."""

    evidence: Evidence
    constants: Constants

    def watch_call_cells(self, ingresses: float) -> tuple[Cell, Cell]:
        """Return the watch calls per second of `ingresses`, on an ordinary day and in the worst minute."""
        wait = self.constants.get_figure("WATCH_WAIT_MS")
        day = wait.map(lambda wait_ms: model.watch_calls_per_s(ingresses, wait_ms, DAY_CHANGES_PER_S))
        worst = wait.map(
            lambda wait_ms: model.watch_calls_per_s(ingresses, wait_ms, WORST_MINUTE_CHANGES_PER_S)
        )
        return Cell(day, "/s"), Cell(worst, "/s", note="at most")


def change_traffic_cells(change_bytes: Figure) -> tuple[Cell, Cell]:
    """Return the bytes per second of all list changes, on an ordinary day and in the worst minute."""
    return (
        Cell(change_bytes.map(lambda byte_count: byte_count * DAY_CHANGES_PER_S), "B/s"),
        Cell(change_bytes.map(lambda byte_count: byte_count * WORST_MINUTE_CHANGES_PER_S), "B/s"),
    )
