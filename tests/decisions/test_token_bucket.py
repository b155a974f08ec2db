"""The token bucket."""

from __future__ import annotations

import pytest

from ingress.decisions.token_bucket import TokenBucket


def test_bucket_refills_up_to_its_capacity() -> None:
    bucket = TokenBucket(rate=2.0, capacity=8.0, level=1.0, updated_at=10.0)
    assert bucket.has_units(11.0, 3.0)
    assert not bucket.has_units(11.0, 3.1)
    bucket.refill(100.0)
    assert bucket.level == 8.0


def test_bucket_may_fill_beyond_its_capacity_for_a_large_request() -> None:
    bucket = TokenBucket(rate=2.0, capacity=8.0, level=8.0, updated_at=0.0)
    assert not bucket.has_units(1.0, 10.0)
    assert bucket.has_units(2.0, 10.0, capacity=10.0)
    assert bucket.level == 10.0


def test_take_stops_at_the_floor_and_refund_at_the_capacity() -> None:
    bucket = TokenBucket(rate=0.0, capacity=8.0, level=3.0, updated_at=0.0)
    assert bucket.take_units(5.0, floor=0.0) == 3.0
    assert bucket.take_units(5.0) == 5.0
    assert bucket.level == -5.0
    bucket.refund_units(100.0)
    assert bucket.level == 8.0


@pytest.mark.parametrize(("factor", "expected_level"), [(0.5, 4.0), (2.0, 6.0)])
def test_rescaling_does_not_add_units(factor: float, expected_level: float) -> None:
    bucket = TokenBucket(rate=2.0, capacity=8.0, level=4.0, updated_at=0.0)
    bucket.rescale(1.0, factor)
    assert (bucket.rate, bucket.capacity, bucket.level) == (2.0 * factor, 8.0 * factor, expected_level)
