"""The ranking of requests by value density."""

from __future__ import annotations

import random
from dataclasses import replace

from ingress.decisions.answer_times import AnswerTimes
from ingress.decisions.request import PendingRequest
from ingress.decisions.request_ranking import MAX_RECENT_REQUESTS, RequestRanking
from tests.support.gateway import IDEMPOTENT_CLASS, SETTINGS, GatewayHarness


def create_request(priority_weight: float) -> PendingRequest:
    harness = GatewayHarness(
        replace(SETTINGS, classes=(replace(IDEMPOTENT_CLASS, priority_weight=priority_weight),))
    )
    harness.deliver_request()
    return harness.gateway.requests["r1"]


def test_rank_is_the_share_of_recent_requests_of_lower_value() -> None:
    ranking = RequestRanking(AnswerTimes(SETTINGS), random.Random(1))
    low, high = create_request(1.0), create_request(3.0)
    for _ in range(50):
        ranking.rank_request(low)
        ranking.rank_request(high)
    assert ranking.rank_request(low) <= 51 / 101
    assert ranking.rank_request(high) >= 51 / 102


def test_requests_of_equal_value_get_ranks_over_the_whole_range() -> None:
    ranking = RequestRanking(AnswerTimes(SETTINGS), random.Random(1))
    request = create_request(1.0)
    ranks = [ranking.rank_request(request) for _ in range(100)]
    assert min(ranks) >= 0.0
    assert max(ranks) < 1.0
    assert max(ranks) - min(ranks) > 0.9


def test_late_request_is_ranked_by_its_late_weight() -> None:
    ranking = RequestRanking(AnswerTimes(SETTINGS), random.Random(1))
    in_time, late = create_request(1.0), create_request(1.0)
    late.is_too_late = True
    late.request_class = replace(late.request_class, late_weight_share=0.5)
    for _ in range(20):
        ranking.rank_request(in_time)
    assert ranking.rank_request(late) < 1 / 20


def test_request_is_compared_only_with_recent_requests() -> None:
    ranking = RequestRanking(AnswerTimes(SETTINGS), random.Random(1))
    low = create_request(1.0)
    ranking.rank_request(create_request(9.0))
    for _ in range(MAX_RECENT_REQUESTS - 1):
        ranking.rank_request(low)
    assert len(set(ranking.sorted_densities)) == 2
    ranking.rank_request(low)
    assert len(ranking.recent_densities) == len(ranking.sorted_densities) == MAX_RECENT_REQUESTS
    assert len(set(ranking.sorted_densities)) == 1  # the first request is no longer compared
