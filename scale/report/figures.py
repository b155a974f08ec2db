"""Figures of the page: a value with its range, how it was obtained, and the result files behind it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from math import floor, isfinite, log10

MEASURED_DIGITS = 2  # significant digits shown of measured and extrapolated figures
COMPUTED_DIGITS = 3  # significant digits shown of figures computed from targets and constants
NEARLY_ALL_SHARE = 0.9  # for shares above this, the difference from 1 is rounded instead
MIN_DECIMAL_NOTATION = 1e-5  # smaller numbers are shown with an exponent
MIN_WITHOUT_DECIMALS = 10_000  # numbers from here on are shown as whole numbers


class Mark(IntEnum):
    """How a figure was obtained, the most reliable first."""

    COMPUTED = 0  # arithmetic on the targets, on documented figures of the site and on constants of the code
    MEASURED = 1
    EXTRAPOLATED = 2
    MISSING = 3

    def __str__(self) -> str:
        return f"*{self.name.lower()}*"


def round_to_digits(value: float, digits: int = MEASURED_DIGITS) -> float:
    """Round a value to the given number of significant digits."""
    if value == 0 or not isfinite(value):
        return value
    return round(value, digits - 1 - floor(log10(abs(value))))


def format_number(value: float, digits: int = MEASURED_DIGITS) -> str:
    """Return a value as the page shows it: rounded, and with the word million, billion or trillion.

    For a share between 0.9 and 1, its difference from 1 is rounded instead, because 0.996 itself would be
    rounded to 1.
    """
    if NEARLY_ALL_SHARE < value < 1:
        return f"{1 - round_to_digits(1 - value, digits):.10g}"
    rounded = round_to_digits(value, digits)
    for size, word in ((1e12, " trillion"), (1e9, " billion"), (1e6, " million")):
        if abs(rounded) >= size:
            return f"{round_to_digits(rounded / size, digits):g}{word}"
    if abs(rounded) >= MIN_WITHOUT_DECIMALS or float(rounded).is_integer():
        return f"{rounded:,.0f}"
    if abs(rounded) < MIN_DECIMAL_NOTATION:
        return f"{rounded:g}"
    return f"{rounded:,.10f}".rstrip("0").rstrip(".")


@dataclass(frozen=True, slots=True)
class Figure:
    """A value with the range that the two fits span.  A missing figure has no value."""

    mark: Mark
    value: float = 0.0
    low: float = 0.0
    high: float = 0.0
    files: tuple[str, ...] = ()

    def map(self, convert: Callable[[float], float]) -> Figure:
        """Return the figure converted by a monotonic function."""
        if self.mark is Mark.MISSING:
            return self
        value, low, high = convert(self.value), convert(self.low), convert(self.high)
        return Figure(self.mark, value, min(low, high), max(low, high), self.files)

    def format(self, unit: str = "", scale: float = 1.0) -> str:
        """Return the figure as the page shows it, with its range if the rounded ends differ."""
        if self.mark is Mark.MISSING:
            return "not measured"
        digits = COMPUTED_DIGITS if self.mark is Mark.COMPUTED else MEASURED_DIGITS
        value_text, low, high = (
            format_number(number * scale, digits) for number in (self.value, self.low, self.high)
        )
        range_text = "" if low == high else f" ({low} to {high})"
        return f"{value_text}{unit if unit == '%' else ' ' + unit if unit else ''}{range_text}"


MISSING = Figure(Mark.MISSING)


def computed_figure(value: float) -> Figure:
    """Return a figure that was computed from targets and other known values."""
    return Figure(Mark.COMPUTED, value, value, value)


def combine(operation: Callable[[float, float], float], first: Figure, second: Figure) -> Figure:
    """Combine two figures by an operation that increases with both; MISSING if either of them is missing."""
    if Mark.MISSING in (first.mark, second.mark):
        return MISSING
    return Figure(
        max(first.mark, second.mark),
        operation(first.value, second.value),
        operation(first.low, second.low),
        operation(first.high, second.high),
        tuple(dict.fromkeys(first.files + second.files)),
    )


def least_reliable_mark(figures: list[Figure]) -> Mark:
    """Return the mark of the least reliable figure; COMPUTED if there are no figures."""
    return max((figure.mark for figure in figures), default=Mark.COMPUTED)
