"""The bounded memory of ids whose requests may have run."""

from __future__ import annotations

from ingress.process.abandoned_ids import LIFETIME_S, MAX_IDS, AbandonedRequestIds


def test_id_is_known_for_its_lifetime() -> None:
    ids = AbandonedRequestIds()
    ids.add(b"a", 10.0)
    assert ids.contains(b"a", 10.0 + LIFETIME_S - 0.1)
    assert not ids.contains(b"a", 10.0 + LIFETIME_S)
    assert not ids.contains(b"b", 10.0)


def test_expired_ids_take_no_memory() -> None:
    ids = AbandonedRequestIds()
    ids.add(b"a", 10.0)
    ids.add(b"b", 10.0 + LIFETIME_S)
    assert len(ids) == 1


def test_oldest_id_makes_room_at_the_limit() -> None:
    ids = AbandonedRequestIds()
    for number in range(MAX_IDS + 1):
        ids.add(b"%d" % number, 10.0)
    assert len(ids) == MAX_IDS
    assert not ids.contains(b"0", 11.0)
    assert ids.contains(b"1", 11.0)
