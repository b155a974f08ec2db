"""Which connection without a pending reply is closed first to make room."""

from __future__ import annotations

from dataclasses import dataclass
from typing import cast

from ingress.downstream.connection import ClientConnection
from ingress.downstream.idle_connections import MIN_NEW_CONNECTION_AGE_S, IdleConnections

NOW = 100.0


@dataclass(slots=True, eq=False)
class FakeConnection:
    """What the queues need of a connection."""

    idle_since: float = NOW - 1.0
    is_closing: bool = False
    quiet: bool = True

    def has_empty_buffers(self) -> bool:
        """Whether nothing is lost by a close."""
        return self.quiet


def fake(idle_since: float = NOW - 1.0, is_closing: bool = False, quiet: bool = True) -> ClientConnection:
    return cast(ClientConnection, FakeConnection(idle_since, is_closing, quiet))


def test_order_of_eviction_is_closing_new_idle_and_the_longest_idle_first() -> None:
    queues = IdleConnections()
    idle, later_idle, new, closing = fake(), fake(), fake(), fake(is_closing=True)
    queues.add_idle(idle)
    queues.add_idle(later_idle)
    queues.add_new(new)
    queues.add_idle(closing)
    evicted = []
    while (connection := queues.find_eviction_candidate(NOW)) is not None:
        evicted.append(connection)
        queues.discard(connection)
    assert evicted == [closing, new, idle, later_idle]


def test_new_connection_is_not_evicted_before_its_first_command_can_come() -> None:
    queues = IdleConnections()
    new = fake(idle_since=NOW)
    queues.add_new(new)
    assert queues.find_eviction_candidate(NOW + MIN_NEW_CONNECTION_AGE_S / 2) is None
    assert queues.find_eviction_candidate(NOW + MIN_NEW_CONNECTION_AGE_S * 2) is new


def test_connection_with_unread_input_or_unsent_reply_is_not_evicted() -> None:
    queues = IdleConnections()
    unquiet, quiet = fake(quiet=False), fake()
    queues.add_idle(unquiet)
    queues.add_idle(quiet)
    assert queues.find_eviction_candidate(NOW) is quiet
    queues.discard(quiet)
    assert queues.find_eviction_candidate(NOW) is None
