"""The bounded memory of ids whose requests may have run."""

from __future__ import annotations

import pytest

from ingress.downstream.client_presence import ClientPresence
from ingress.process.forwarded_ids import LIFETIME_S, MAX_IDS, ForwardedRequestIds


@pytest.fixture
def departed() -> ClientPresence:
    presence = ClientPresence(lambda: True)
    presence.end()
    return presence


def test_id_is_known_for_its_lifetime(departed: ClientPresence) -> None:
    ids = ForwardedRequestIds()
    ids.add(b"a", departed, 10.0)
    assert ids.is_abandoned(b"a", 10.0 + LIFETIME_S - 0.1)
    assert not ids.is_abandoned(b"a", 10.0 + LIFETIME_S)
    assert not ids.is_abandoned(b"b", 10.0)


def test_connected_client_may_use_an_id_again() -> None:
    ids = ForwardedRequestIds()
    is_connected = True
    ids.add(b"a", ClientPresence(lambda: is_connected), 10.0)
    assert not ids.is_abandoned(b"a", 11.0)
    is_connected = False
    assert ids.is_abandoned(b"a", 11.0)


def test_expired_ids_take_no_memory(departed: ClientPresence) -> None:
    ids = ForwardedRequestIds()
    ids.add(b"a", departed, 10.0)
    ids.add(b"b", departed, 10.0 + LIFETIME_S)
    assert len(ids) == 1


def test_oldest_id_makes_room_at_the_limit(departed: ClientPresence) -> None:
    ids = ForwardedRequestIds()
    for number in range(MAX_IDS + 1):
        ids.add(b"%d" % number, departed, 10.0)
    assert len(ids) == MAX_IDS
    assert not ids.is_abandoned(b"0", 11.0)
    assert ids.is_abandoned(b"1", 11.0)
