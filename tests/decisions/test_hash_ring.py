"""Tests of the hash ring: its order after changes, and reads that wrap around the end."""

from __future__ import annotations

from random import Random

from ingress.decisions.hash_ring import MAX_SINGLE_CHANGES, HashRing, compute_ring_hashes


def test_ring_changed_in_steps_equals_a_ring_built_at_once() -> None:
    rng = Random(5)
    names = [f"n{n}" for n in range(400)]
    ring = HashRing()
    present: set[str] = set()
    for size in (300, 1, 7, MAX_SINGLE_CHANGES + 1, 3, 200):
        changed = rng.sample(names, size)
        removed = {name: compute_ring_hashes(name)[0] for name in changed if name in present}
        added = {name: compute_ring_hashes(name)[0] for name in changed if name not in present}
        ring.update(removed, added)
        present = (present - removed.keys()) | added.keys()
        expected = sorted((compute_ring_hashes(name)[0], name) for name in present)
        assert list(zip(ring.hashes, ring.names, strict=True)) == expected
    assert ring.list_names_from(len(present) - 2, 5) == ring.names[-2:] + ring.names[:3]
    assert ring.list_names_from(0, 10_000) == ring.names


def test_names_with_equal_hashes_are_sorted_by_name() -> None:
    ring = HashRing()
    ring.update({}, {"b": 7, "c": 7})
    ring.update({}, {"a": 7, "d": 3})
    assert ring.names == ["d", "a", "b", "c"]
    ring.update({"b": 7}, {})
    assert ring.names == ["d", "a", "c"]
