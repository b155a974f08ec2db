"""The clock of the process: Unix time that advances without jumps."""

from __future__ import annotations

import time
from collections.abc import Callable

Clock = Callable[[], float]  # returns seconds since the Unix epoch


def unix_clock() -> Clock:
    """Return a clock that starts at the current Unix time and advances with the monotonic clock.

    Changes of the system time while the process runs have no effect on it.  It returns Unix time because
    `started_ms` and the time-based names on the shared counter must mean the same to every ingress.
    """
    monotonic = time.monotonic
    offset = time.time() - monotonic()
    return lambda: monotonic() + offset
