"""One limit of the design, with the size at which it is reached."""

from __future__ import annotations

from dataclasses import dataclass

from scale.report.figures import Figure, Mark, format_number
from scale.report.rows import result_link
from scale.report.targets import TARGETS


@dataclass(frozen=True, slots=True)
class Limit:
    """One limit of the design: the size at which it is reached, the dimension of that size, and the cause."""

    label: str
    size: Figure | None  # None if the fits never reach the limit
    dimension: str  # what `size` counts
    target: float  # the full size in that dimension
    cause: str

    @property
    def share_of_target(self) -> float:
        """Return the size at which the limit is reached, as a share of the target.

        It is infinite if the limit is never reached or was not measured.
        """
        if self.size is None or self.size.mark is Mark.MISSING:
            return float("inf")
        return self.size.value / self.target

    @property
    def is_past_target(self) -> bool:
        """Return whether the limit is reached only past the full size, or never."""
        return self.size is None or (self.size.mark is not Mark.MISSING and self.share_of_target > 1.0)

    def format_cells(self) -> list[str]:
        """Return the columns of the page's table as text."""
        if self.size is None:
            return [self.label, "does not grow with the size", "-", "*extrapolated*", self.cause, "-"]
        files = ", ".join(map(result_link, self.size.files)) or "-"
        if self.size.mark is Mark.MISSING:
            return [self.label, "not measured", "-", str(self.size.mark), self.cause, files]
        reached_at = (
            "past the full size"
            if self.is_past_target
            else format_number(max(1.0, self.share_of_target * TARGETS.ingresses))
        )
        return [
            self.label,
            self.size.format(self.dimension),
            reached_at,
            str(self.size.mark),
            self.cause,
            files,
        ]
