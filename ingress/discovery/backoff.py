"""Compute the delay before the retry of a failed call to the discovery agent.

The delays are random (jitter), so that gateways whose calls failed at the same time do not retry at the same
time.  An overloaded service would otherwise never recover.

The delays are also bounded, so that a change is received before it counts as notified (see `timing`).  The
worst case with an agent that has to be polled: the agent becomes reachable just after it rejected a call, and
the next call is lost.  The times then add up as follows:

    longest delay after the rejection     MAX_REJECTED_BACKOFF_S        1.25 s
    timeout of the lost call              poll_timeout_s                2.25 s
    longest delay after a timeout         MAX_TIMEOUT_BACKOFF_S         0.25 s
    call that returns the change          SERVICE_TIME_LIMIT_S          2.00 s
    margin                                NOTIFICATION_MARGIN_S         0.25 s
    total                                 NOTIFIED_WITHIN_S             6.00 s

The delay after any other failure is at most `max_backoff_s`, which is shorter.  The times add up to less
if the connection of a long poll stops working:

    timeout of the lost long poll         WATCH_WAIT_MS                 1.00 s
                                          watch_grace_s                 2.25 s
    longest delay after a timeout         MAX_TIMEOUT_BACKOFF_S         0.25 s
    call that returns the change          SERVICE_TIME_LIMIT_S          2.00 s
    margin                                NOTIFICATION_MARGIN_S         0.25 s
    total                                                               5.75 s

With an agent that pushes changes, each step takes less time.
"""

from __future__ import annotations

import random

from ingress.discovery.errors import DiscoveryRejectedError, DiscoveryTimeoutError
from ingress.discovery.timing import (
    NOTIFICATION_MARGIN_S,
    NOTIFIED_WITHIN_S,
    POLLED_TIMING,
    SERVICE_TIME_LIMIT_S,
    WatchTiming,
)

INITIAL_BACKOFF_S = 0.1  # upper bound of the first delay; each further failure doubles the bound
MAX_TIMEOUT_BACKOFF_S = 0.25  # short, since the timeout has already delayed the retry
# The agent serves one call after another, so a call that it rejects delays the calls of other gateways.
# Retries of rejected calls therefore start later and may be delayed longer.
INITIAL_REJECTED_BACKOFF_S = 0.8
MAX_REJECTED_BACKOFF_S = (
    NOTIFIED_WITHIN_S
    - NOTIFICATION_MARGIN_S
    - POLLED_TIMING.poll_timeout_s
    - MAX_TIMEOUT_BACKOFF_S
    - SERVICE_TIME_LIMIT_S
)
MAX_DOUBLINGS = 32  # prevents a float overflow; the upper bounds are reached long before


def draw_backoff_delay(
    failure_count: int, error: Exception, timing: WatchTiming, rng: random.Random
) -> float:
    """Return a random delay in seconds before the retry of a call that failed with `error`.

    `failure_count` is the number of consecutive failed calls before this one.
    """
    if isinstance(error, DiscoveryRejectedError):
        return draw_rejected_backoff_delay(failure_count, rng)
    if isinstance(error, DiscoveryTimeoutError):
        return draw_jittered_delay(failure_count, min(timing.max_backoff_s, MAX_TIMEOUT_BACKOFF_S), rng)
    return draw_jittered_delay(failure_count, timing.max_backoff_s, rng)


def draw_jittered_delay(failure_count: int, max_backoff_s: float, rng: random.Random) -> float:
    """Return a random delay in seconds by exponential backoff with full jitter."""
    bound_s = _compute_exponential_backoff_s(INITIAL_BACKOFF_S, failure_count)
    return rng.uniform(0.0, min(max_backoff_s, bound_s))


def draw_rejected_backoff_delay(failure_count: int, rng: random.Random) -> float:
    """Return a random delay in seconds after a rejected call.

    The delay has full jitter (from 0 to the bound) while the bound grows, and equal jitter (from half the
    bound to the bound) once it is at its maximum.  Equal jitter sends a third fewer calls to an overloaded
    service.
    """
    bound_s = _compute_exponential_backoff_s(INITIAL_REJECTED_BACKOFF_S, failure_count)
    if bound_s >= MAX_REJECTED_BACKOFF_S:
        return rng.uniform(MAX_REJECTED_BACKOFF_S / 2, MAX_REJECTED_BACKOFF_S)
    return rng.uniform(0.0, min(MAX_REJECTED_BACKOFF_S, bound_s))


def _compute_exponential_backoff_s(initial_s: float, failure_count: int) -> float:
    return initial_s * 2.0 ** min(failure_count, MAX_DOUBLINGS)
