"""Define the timeouts of calls to the discovery agent.

A change of the endpoint list counts as notified `NOTIFIED_WITHIN_S` seconds after discovery has the change
and can be reached.  From then on the gateway is held responsible for the change, so the change must have been
received by then.  `backoff` shows that the timeouts and the retry delays add up to no more than this time.
"""

from __future__ import annotations

from dataclasses import dataclass

NOTIFIED_WITHIN_S = 6.0  # from the change, with discovery reachable, until the change counts as notified
# Part of NOTIFIED_WITHIN_S that is reserved for decoding the list and for delays on a busy machine.
NOTIFICATION_MARGIN_S = 0.25

# A long poll returns as soon as there is a change, so a short wait only costs some more small calls.  The
# wait limits for how long changes go unnoticed after a connection has silently stopped working.
WATCH_WAIT_MS = 1_000
# A call after a failed one waits for a change only this long, so that its loss is detected sooner.
RETRY_WAIT_MS = 1
# An agent that has to be polled serves one call after another, so a call may have to wait in its queue.
SERVICE_TIME_LIMIT_S = 2.0  # a call that has not been served after this time is lost


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """The timeouts and the maximum retry delay of a watch."""

    watch_grace_s: float
    """Seconds that a long poll may take in addition to the wait that it asks for."""
    poll_timeout_s: float
    """Seconds that a call without a wait for a change may take."""
    max_backoff_s: float
    """Maximum delay in seconds before a retry, except after a rejected call."""
    watch_wait_ms: int = WATCH_WAIT_MS
    """Milliseconds for which a long poll waits for a change."""

    @property
    def watch_timeout_s(self) -> float:
        """Seconds that a long poll may take."""
        return self.watch_wait_ms / 1000 + self.watch_grace_s


# The timeouts are SERVICE_TIME_LIMIT_S plus some time for a busy machine.  The maximum retry delay is short,
# since a call to an agent that refuses connections does not delay the calls of other gateways.
POLLED_TIMING = WatchTiming(watch_grace_s=2.25, poll_timeout_s=2.25, max_backoff_s=1.0)
# Calls to an agent that pushes changes do not wait in a queue, so an agent that has not responded within
# these timeouts is not working.  Changes that it fails to deliver count as notified 4 s after SIGHUP, or 6 s
# after the agent stopped responding.
PUSHED_TIMING = WatchTiming(watch_grace_s=0.5, poll_timeout_s=1.0, max_backoff_s=0.25)


def watch_timing(*, is_pushed: bool) -> WatchTiming:
    """Return the timing for an agent that pushes changes, or for one that has to be polled."""
    return PUSHED_TIMING if is_pushed else POLLED_TIMING
