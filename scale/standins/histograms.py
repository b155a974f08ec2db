"""HDR histograms of times, recorded in microseconds and passed between processes as text."""

from __future__ import annotations

from typing import cast

from hdrh.histogram import HdrHistogram

MIN_US = 1  # shorter times are recorded as this
MAX_US = 120_000_000  # longer times are recorded as this
SIGNIFICANT_DIGITS = 3


class TimeHistogram:
    """A histogram of times."""

    def __init__(self, encoded: str = "") -> None:
        self._histogram = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
        if encoded:
            self.add_encoded(encoded)

    def record(self, seconds: float) -> None:
        """Record one time; a time out of range is recorded as the nearest limit."""
        self._histogram.record_value(min(max(round(seconds * 1e6), MIN_US), MAX_US))

    def add_encoded(self, encoded: str) -> None:
        """Add all times of an encoded histogram."""
        self._histogram.add(HdrHistogram.decode(encoded))

    def encode(self) -> str:
        """Return the histogram as text."""
        return cast(bytes, self._histogram.encode()).decode("ascii")

    @property
    def count(self) -> int:
        """The number of recorded times."""
        return int(self._histogram.get_total_count())

    def get_percentile_us(self, percentile: float) -> float:
        """Return a percentile (0 to 100) in microseconds, or 0 if nothing was recorded."""
        return float(self._histogram.get_value_at_percentile(percentile)) if self.count else 0.0

    def get_percentile_ms(self, percentile: float) -> float:
        """Return a percentile (0 to 100) in milliseconds, or 0 if nothing was recorded."""
        return self.get_percentile_us(percentile) / 1000
