"""The names of a customer's counts and of their leases."""

from __future__ import annotations

from ingress.decisions.counted_use import COUNT_EPOCH_S, CountedUse

HASH = 0x1F03A250  # its epochs begin a part of an epoch before the multiples of the epoch's length


def test_each_epoch_has_its_own_name_and_its_own_totals() -> None:
    count = CountedUse(started_at=0.0)
    count.advance_epoch(1000.0, HASH)
    assert 1000.0 - COUNT_EPOCH_S < count.started_at <= 1000.0
    assert count.awaits_first_total
    first_name = count.name
    count.unreported_units = 5.0
    count.record_added_units(4.0)
    count.awaits_first_total = False
    count.advance_epoch(count.started_at + COUNT_EPOCH_S - 0.01, HASH)
    assert (count.name, count.own_units, count.unreported_units) == (first_name, 4.0, 1.0)
    assert not count.awaits_first_total
    count.advance_epoch(count.started_at + COUNT_EPOCH_S + 0.01, HASH)
    assert (count.name, count.own_units, count.unreported_units) == (first_name + 1, 0.0, 1.0)
    assert count.awaits_first_total


def test_lease_has_a_name_of_its_own() -> None:
    count = CountedUse(started_at=0.0)
    names = set()
    for epoch in range(1000):
        count.advance_epoch(epoch * COUNT_EPOCH_S, HASH)
        names |= {count.name, count.lease_name}
    assert len(names) == 2000
    assert {name >> 24 for name in names} == {HASH}
