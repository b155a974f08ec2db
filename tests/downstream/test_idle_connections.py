"""The order in which connections without a pending reply are evicted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import cast

from ingress.downstream.connection import ClientConnection
from ingress.downstream.idle_connections import MIN_NEW_CONNECTION_AGE_S, IdleConnections

NOW = 100.0


@dataclass(slots=True, eq=False)
class FakeConnection:
    """A connection with only the members that the queues use."""

    idle_since: float = NOW - 1.0
    is_closing: bool = False
    are_buffers_empty: bool = True

    def has_empty_buffers(self) -> bool:
        """Return whether closing loses nothing."""
        return self.are_buffers_empty


def make_connection(
    idle_since: float = NOW - 1.0, is_closing: bool = False, are_buffers_empty: bool = True
) -> ClientConnection:
    return cast(ClientConnection, FakeConnection(idle_since, is_closing, are_buffers_empty))


def test_closing_then_new_then_longest_idle_connections_are_evicted() -> None:
    queues = IdleConnections()
    idle, later_idle, new, closing = (
        make_connection(),
        make_connection(),
        make_connection(),
        make_connection(is_closing=True),
    )
    queues.add_idle(idle)
    queues.add_idle(later_idle)
    queues.add_new(new)
    queues.add_idle(closing)
    evicted = []
    while (connection := queues.find_eviction_candidate(NOW)) is not None:
        evicted.append(connection)
        queues.discard(connection)
    assert evicted == [closing, new, idle, later_idle]


def test_new_connection_is_not_evicted_before_its_minimum_age() -> None:
    """Until then, its first command may still be on the way."""
    queues = IdleConnections()
    new = make_connection(idle_since=NOW)
    queues.add_new(new)
    assert queues.find_eviction_candidate(NOW + MIN_NEW_CONNECTION_AGE_S / 2) is None
    assert queues.find_eviction_candidate(NOW + MIN_NEW_CONNECTION_AGE_S * 2) is new


def test_connection_with_unread_input_or_unsent_reply_is_not_evicted() -> None:
    queues = IdleConnections()
    with_data, without_data = make_connection(are_buffers_empty=False), make_connection()
    queues.add_idle(with_data)
    queues.add_idle(without_data)
    assert queues.find_eviction_candidate(NOW) is without_data
    queues.discard(without_data)
    assert queues.find_eviction_candidate(NOW) is None
