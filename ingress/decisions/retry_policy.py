"""The retry policy: the retry budget, and the timeout after which a retry may replace an attempt."""

import ingress.interface as api
from ingress.decisions.answer_times import AnswerTimes
from ingress.decisions.overload import OverloadDetector
from ingress.decisions.request import PendingRequest
from ingress.decisions.token_bucket import TokenBucket

RETRIES_PER_REQUEST = 0.15  # retries that each first attempt adds to the budget
MAX_SAVED_RETRIES = 10.0  # capacity of the budget, in retries
INITIAL_RETRIES = 1.0  # retries in the budget of a new process
# An attempt is considered lost after the longer of these two times.
LOST_AFTER_MEANS = 8.0  # in mean answer times of the request class
LOST_AFTER_OBJECTIVES = 0.7  # in latency objectives of the request class


class RetryPolicy:
    """Decides on retries, which need spare capacity and a budget, as they make an overload worse."""

    def __init__(
        self, settings: api.Settings, answer_times: AnswerTimes, overload_detector: OverloadDetector
    ) -> None:
        self.settings = settings
        self.answer_times = answer_times
        self.overload_detector = overload_detector
        self.budget = TokenBucket(rate=0.0, capacity=MAX_SAVED_RETRIES, level=INITIAL_RETRIES, updated_at=0.0)
        """The retries that may be sent now; first attempts refill the budget, not the passing of time."""

    def record_first_attempt(self) -> None:
        """Add `RETRIES_PER_REQUEST` to the budget because the first attempt of a request was sent."""
        self.budget.level = min(self.budget.capacity, self.budget.level + RETRIES_PER_REQUEST)

    def record_retry(self, proves_not_executed: bool) -> None:
        """Charge a retry to the budget, unless it is proven that no backend executed the previous attempt."""
        if not proves_not_executed:
            self.budget.take_units(1.0)

    def may_retry(self, now: float, request: PendingRequest, proves_not_executed: bool) -> bool:
        """Return whether a retry can be answered in time and is allowed by the budget and the spare capacity.

        `proves_not_executed` says whether the outcome of the last attempt proves that no backend executed it;
        then the retry needs no budget.
        """
        is_in_time = now + self.answer_times.get_mean(request.request_class) < request.deadline
        is_affordable = proves_not_executed or self._has_budget()
        return is_in_time and is_affordable and self.overload_detector.shed_share(now) < 0

    def attempt_timeout(self, now: float, request: PendingRequest) -> float:
        """Return the seconds after which the latest attempt of `request` is given up.

        An attempt may last until the deadline.  If another attempt may follow in time, the first one is given
        up as soon as it is considered lost.
        """
        remaining_time = request.deadline - now
        lost_after = self._lost_after(request.request_class)
        has_time_for_another = lost_after < remaining_time / 2
        if has_time_for_another and self._may_send_another_attempt(request):
            return lost_after
        return remaining_time

    def _lost_after(self, request_class: api.RequestClass) -> float:
        """Return the seconds after which an attempt of the class is considered lost."""
        return max(
            LOST_AFTER_MEANS * self.answer_times.get_mean(request_class),
            LOST_AFTER_OBJECTIVES * request_class.latency_objective,
        )

    def _may_send_another_attempt(self, request: PendingRequest) -> bool:
        return (
            request.request_class.idempotency is not api.Idempotency.NOT_IDEMPOTENT
            and len(request.attempts.sent_attempts) < self.settings.max_attempts
            and self._has_budget()
        )

    def _has_budget(self) -> bool:
        return self.budget.level >= 1
