"""Outlier ejection: a backend that fails or rejects requests gets none during a pause.

The pause doubles with each further consecutive failure or rejection, up to a maximum.
"""

from dataclasses import dataclass

import ingress.interface as api

FAILURES_TO_EJECT = 3  # consecutive errors or timeouts
# Consecutive rejections by a backend that is not busy: it is probably draining, or full for all gateways.
REJECTIONS_TO_EJECT = 2
FAILURE_PAUSE_SHARE = 0.5  # of the longest latency objective: the first pause after failures
REJECTION_PAUSE_SHARE = 0.25  # of the longest latency objective: the pause after a first rejection
MAX_FAILURE_DOUBLINGS = 4  # maximum number of doublings of the pause after failures
MAX_REJECTION_DOUBLINGS = 5  # maximum number of doublings of the pause after rejections


@dataclass(slots=True)
class OutlierEjection:
    """The consecutive failures and rejections of one backend, and its ejection because of them."""

    ejected_until: float
    """Time at which the pause ends (s)."""
    consecutive_failures: int = 0
    """Number of failures since the last successful answer."""
    consecutive_rejections: int = 0
    """Number of rejections since the last answer of another kind."""
    is_unreachable: bool = False
    """Whether the last failure was a failed or reset connection."""

    def record_failure(self, now: float, outcome: api.Outcome, longest_objective: float) -> None:
        """Count a failed attempt.

        Eject the backend if its connection failed, or after FAILURES_TO_EJECT consecutive failures.
        """
        self.consecutive_failures += 1
        self.is_unreachable = outcome in (api.Outcome.CONNECT_FAILED, api.Outcome.RESET)
        ejecting_failure_count = self.consecutive_failures - (
            0 if self.is_unreachable else FAILURES_TO_EJECT - 1
        )
        if ejecting_failure_count > 0:
            doublings = min(ejecting_failure_count - 1, MAX_FAILURE_DOUBLINGS)
            self.ejected_until = now + FAILURE_PAUSE_SHARE * longest_objective * 2.0**doublings

    def record_rejection(self, now: float, is_busy: bool, longest_objective: float) -> bool:
        """Count a rejected request and return whether the backend is ejected for it.

        One rejection by a backend that answers others quickly (not `is_busy`) may be due to the request
        alone; a backend that is draining rejects every request.
        """
        self.consecutive_rejections += 1
        if not is_busy and self.consecutive_rejections < REJECTIONS_TO_EJECT:
            return False
        doublings = min(self.consecutive_rejections - 1, MAX_REJECTION_DOUBLINGS)
        pause = REJECTION_PAUSE_SHARE * longest_objective * 2.0**doublings
        self.ejected_until = max(self.ejected_until, now + pause)
        return True

    def record_answer(self) -> None:
        """Reset the count of consecutive rejections after an answer or a timeout."""
        self.consecutive_rejections = 0

    def clear_failures(self) -> None:
        """Reset the count of consecutive failures after a successful answer."""
        self.consecutive_failures = 0
        self.is_unreachable = False

    def mark_suspect(self) -> None:
        """Raise the count of failures to one below the number that ejects the backend.

        The caller uses this when an attempt has timed out and the backend has answered nothing since the
        attempt was sent.
        """
        self.consecutive_failures = max(self.consecutive_failures, FAILURES_TO_EJECT - 1)

    def is_ejected(self, now: float, has_attempts_in_flight: bool) -> bool:
        """Return whether the backend may get no attempt now.

        After a pause for failures, one attempt at a time probes the backend until one succeeds.
        """
        if now < self.ejected_until:
            return True
        return has_attempts_in_flight and (
            self.is_unreachable or self.consecutive_failures >= FAILURES_TO_EJECT
        )
