"""Logging of faults that may occur as often as requests."""

from __future__ import annotations

import logging


class RateLimitedLog:
    """A log that contains the first faults but only every nth later one, to limit the cost of logging."""

    __slots__ = ("_count", "_every", "_first", "_logger")

    def __init__(self, logger: logging.Logger, first_count: int, sample_interval: int = 100) -> None:
        """Log the first `first_count` faults, and of the later ones every multiple of `sample_interval`.

        The faults are numbered from 1.
        """
        self._logger = logger
        self._first = first_count
        self._every = sample_interval
        self._count = 0

    @property
    def count(self) -> int:
        """Number of faults so far, whether they were logged or not."""
        return self._count

    def warning(self, event: str, *args: object) -> None:
        """Count a fault and log it unless it is suppressed; `event` is a %-format string for `args`."""
        self._count += 1
        if self._count <= self._first or self._count % self._every == 0:
            self._logger.warning(event + " count=%d", *args, self._count)
