"""The ranking of requests by value, by which an overloaded gateway chooses the requests to shed."""

import random
from bisect import bisect_left, bisect_right, insort
from collections import deque

from ingress.decisions.answer_times import AnswerTimes
from ingress.decisions.request import PendingRequest

MAX_RECENT_REQUESTS = 256  # number of recent requests with which a new request is compared


class RequestRanking:
    """Ranks requests by value density: a request's weight divided by the mean answer time of its class."""

    def __init__(self, answer_times: AnswerTimes, rng: random.Random) -> None:
        self.answer_times = answer_times
        self.rng = rng
        self.recent_densities: deque[float] = deque()
        """Value densities of recent requests (weight per second), the oldest first."""
        self.sorted_densities: list[float] = []
        """The values of `recent_densities` in ascending order."""

    def rank_request(self, request: PendingRequest) -> float:
        """Record the request and return the share (0 to 1) of recent requests with a lower value density.

        Requests of equal density get random ranks within their range, so that shedding affects only a part of
        them.
        """
        self.answer_times.record_units(request.units)
        density = self._value_density(request)
        self._record_density(density)
        lower_count = bisect_left(self.sorted_densities, density)
        equal_count = bisect_right(self.sorted_densities, density) - lower_count
        return (lower_count + self.rng.random() * equal_count) / len(self.sorted_densities)

    def _value_density(self, request: PendingRequest) -> float:
        request_class = request.request_class
        weight_share = request_class.late_weight_share if request.is_too_late else 1.0
        weight = request_class.priority_weight * weight_share * request.plan.weight_factor
        return weight / self.answer_times.get_mean(request_class)

    def _record_density(self, density: float) -> None:
        if len(self.recent_densities) == MAX_RECENT_REQUESTS:
            oldest = self.recent_densities.popleft()
            del self.sorted_densities[bisect_left(self.sorted_densities, oldest)]
        self.recent_densities.append(density)
        insort(self.sorted_densities, density)
