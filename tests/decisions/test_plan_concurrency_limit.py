"""The concurrency limit of a plan, of which each gateway enforces a slice."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.interface import Plan
from tests.support.gateway import SETTINGS, Play, sends


@pytest.mark.parametrize(
    ("limit", "assigned_instances", "most"), [(3, 4, 1), (4, 4, 1), (7, 4, 2), (45, 30, 2), (3, 1, 3)]
)
def test_slice_of_the_concurrency_limit_is_rounded_up(limit: int, assigned_instances: int, most: int) -> None:
    """Rounded down, the slices of four gateways allowed only 4 of 7 attempts; requests arrive unevenly."""
    play = Play(replace(SETTINGS, instance_count=30, plans=(Plan("basic", concurrency_limit=limit),)))
    assert sum(len(sends(play.ask(assigned_instances=assigned_instances))) for _ in range(limit)) == most
    resized_play = Play(replace(SETTINGS, instance_count=30, plans=(Plan("basic", concurrency_limit=limit),)))
    resized_play.ask(assigned_instances=30)
    # One attempt of the customer is in flight already.
    assert (
        sum(len(sends(resized_play.ask(assigned_instances=assigned_instances))) for _ in range(limit))
        == most - 1
    )


def test_plan_without_a_rate_has_only_its_concurrency_limit() -> None:
    play = Play(replace(SETTINGS, plans=(Plan("basic", concurrency_limit=4),)))
    assert sum(len(sends(play.ask())) for _ in range(5)) == 2  # a limit of 4 over two gateways
