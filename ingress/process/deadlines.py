"""The part of a client's waiting time that the decision module may use."""

from __future__ import annotations

DECISION_MARGIN_S = 0.020  # from the decision module's deadline to the client's deadline
MIN_WAIT_TO_MARGIN_RATIO = 10  # limits the margin to a tenth of the waiting time, for short waiting times


def decision_time(client_wait_s: float) -> float:
    """Return the seconds that the decision module has for a request whose client waits `client_wait_s`.

    The margin does not depend on when the request is processed, so that the decision module always sees the
    same time for the waiting time that a client names.
    """
    return client_wait_s - min(DECISION_MARGIN_S, client_wait_s / MIN_WAIT_TO_MARGIN_RATIO)
