"""Mean answer times by request class, and the expected work of a request."""

import ingress.interface as api
from ingress.decisions.constants import SLOW_SMOOTHING_FACTOR
from ingress.decisions.request import PendingRequest

INITIAL_MEAN_DIVISOR = 8  # the mean before any answer is the latency objective divided by this
MIN_MEAN_UNITS = 1e-6  # units; prevents a division by zero


class AnswerTimes:
    """Exponentially smoothed answer times of each request class, and the mean size of a request."""

    def __init__(self, settings: api.Settings) -> None:
        self.min_mean_s = settings.tick
        """Lower bound of each mean, in seconds: the resolution of the clock."""
        self.mean_request_units = 1.0
        """Exponentially smoothed size of a request, in quota units."""
        self.mean_by_class: dict[str, float] = {}
        """Smoothed answer time in seconds by class name, for classes that have had an answer."""

    def get_mean(self, request_class: api.RequestClass) -> float:
        """Return the mean answer time of the class in seconds.

        Before the first answer, assume a fixed fraction of the latency objective.
        """
        initial = request_class.latency_objective / INITIAL_MEAN_DIVISOR
        return max(self.mean_by_class.get(request_class.name, initial), self.min_mean_s)

    def record_answer(self, request_class: api.RequestClass, latency: float) -> None:
        """Include an answer that took `latency` seconds.

        The first answer initializes the mean.  Each answer then moves the mean towards its latency, which
        counts as at most the class's latency objective.
        """
        mean = self.mean_by_class.setdefault(request_class.name, latency)
        self.mean_by_class[request_class.name] = mean + SLOW_SMOOTHING_FACTOR * (
            min(latency, request_class.latency_objective) - mean
        )

    def record_units(self, units: float) -> None:
        """Include a request of `units` in the mean size of a request."""
        self.mean_request_units += (units - self.mean_request_units) * SLOW_SMOOTHING_FACTOR

    def estimate_work(self, request: PendingRequest) -> float:
        """Return the work that the request is expected to cause, as a multiple of a mean request's work."""
        mean = self.get_mean(request.request_class)
        means = self.mean_by_class.values() or [mean]
        return mean * len(means) / sum(means) * request.units / max(self.mean_request_units, MIN_MEAN_UNITS)
