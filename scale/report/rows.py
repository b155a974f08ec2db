"""Rows of a role's table: figures of an ordinary day and of the worst minute, with their result files."""

from __future__ import annotations

from dataclasses import dataclass

from scale.report.figures import MISSING, Figure, least_reliable_mark


@dataclass(frozen=True, slots=True)
class Cell:
    """A table cell: a figure with its unit, a note, or both."""

    figure: Figure | None = None
    unit: str = ""
    scale: float = 1.0
    note: str = ""

    def __str__(self) -> str:
        figure_text = "" if self.figure is None else self.figure.format(self.unit, self.scale)
        return ", ".join(part for part in (figure_text, self.note) if part) or "-"


@dataclass(frozen=True, slots=True)
class Row:
    """One row of a role's table."""

    label: str
    day: Cell
    worst: Cell
    requirement: str = "-"

    def figures(self) -> list[Figure]:
        """Return the figures of both columns."""
        return [cell.figure for cell in (self.day, self.worst) if cell.figure is not None]

    def files(self) -> list[str]:
        """Return the names of the result files that the row comes from."""
        return sorted({file for figure in self.figures() for file in figure.files})

    def format_cells(self) -> list[str]:
        """Return the columns as text."""
        mark = least_reliable_mark(self.figures())
        return [
            self.label,
            str(self.day),
            str(self.worst),
            self.requirement,
            str(mark),
            ", ".join(map(result_link, self.files())) or "-",
        ]


def result_link(file: str) -> str:
    """Return a link from the page to a result file, with the file's name up to its time as label."""
    label = file.removesuffix(".json").rpartition("-")[0] or file
    return f"[{label}](../scale/results/{file})"


def same_cells(figure: Figure, unit: str = "", scale: float = 1.0, note: str = "") -> tuple[Cell, Cell]:
    """Return two equal cells, for figures that are the same on an ordinary day and in the worst minute."""
    cell = Cell(figure, unit, scale, note)
    return cell, cell


NOT_MEASURED = same_cells(MISSING)
