"""The concurrency limit of a plan, of which each gateway enforces a slice."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.interface import Plan
from tests.support.gateway import SETTINGS, GatewayHarness, find_sent_attempts


@pytest.mark.parametrize(
    ("limit", "assigned_instances", "expected_slice"),
    [(3, 4, 1), (4, 4, 1), (7, 4, 2), (45, 30, 2), (3, 1, 3)],
)
def test_slice_of_the_concurrency_limit_is_rounded_up(
    limit: int, assigned_instances: int, expected_slice: int
) -> None:
    """Four slices of a limit of 7, if rounded down, would allow only 4 attempts.

    Requests also arrive unevenly, so that some slices are not used up.
    """
    harness = GatewayHarness(
        replace(SETTINGS, instance_count=30, plans=(Plan("basic", concurrency_limit=limit),))
    )
    assert (
        sum(
            len(find_sent_attempts(harness.deliver_request(assigned_instances=assigned_instances)))
            for _ in range(limit)
        )
        == expected_slice
    )
    resized_harness = GatewayHarness(
        replace(SETTINGS, instance_count=30, plans=(Plan("basic", concurrency_limit=limit),))
    )
    resized_harness.deliver_request(assigned_instances=30)
    # One attempt of the customer is in flight already.
    assert (
        sum(
            len(find_sent_attempts(resized_harness.deliver_request(assigned_instances=assigned_instances)))
            for _ in range(limit)
        )
        == expected_slice - 1
    )


def test_plan_without_a_rate_has_only_its_concurrency_limit() -> None:
    harness = GatewayHarness(replace(SETTINGS, plans=(Plan("basic", concurrency_limit=4),)))
    # A limit of 4 over two gateways.
    assert sum(len(find_sent_attempts(harness.deliver_request())) for _ in range(5)) == 2
