"""The times from which the timeouts of incomplete commands and the deadlines of requests run."""

from __future__ import annotations

import pytest

from ingress.downstream import timeouts
from ingress.downstream.client_input import ClientInput
from ingress.network.buffer_budget import BufferBudget
from tests.support.peers import encode_resp_array


@pytest.fixture
def client_input() -> ClientInput:
    return ClientInput(BufferBudget(max_bytes=1000), now=10.0)


def test_input_arrives_when_it_is_read(client_input: ClientInput) -> None:
    client_input.append(b"*1\r\n", 11.0)
    client_input.record_examined(has_partial_command=True)
    assert client_input.arrived_at == client_input.partial_command_since == 11.0
    client_input.append(b"$4\r\n", 12.0)
    client_input.record_examined(has_partial_command=True)
    assert client_input.arrived_at == 12.0
    assert client_input.partial_command_since == 11.0


def test_input_read_after_a_suspension_arrived_when_the_socket_was_last_empty(
    client_input: ClientInput,
) -> None:
    client_input.suspend(20.0)
    client_input.record_empty_socket(20.25)
    client_input.suspend(20.5)
    client_input.resume(has_unread=True)
    client_input.append(b"*1\r\n", 21.0)
    client_input.record_examined(has_partial_command=True)
    assert client_input.arrived_at == client_input.partial_command_since == 20.25
    assert client_input.last_received_at == 21.0
    assert not client_input.is_suspended


def test_suspension_without_input_has_no_effect_on_later_input(client_input: ClientInput) -> None:
    client_input.suspend(20.0)
    client_input.resume(has_unread=False)
    client_input.append(b"*1\r\n", 30.0)
    assert client_input.arrived_at == 30.0


def test_only_examined_input_counts_as_an_incomplete_command(client_input: ClientInput) -> None:
    client_input.append(b"*1\r\n", 11.0)
    assert not client_input.holds_only_partial_command()
    client_input.record_examined(has_partial_command=True)
    assert client_input.holds_only_partial_command()
    client_input.append(b"$4\r\nPING\r\n", 12.0)
    assert not client_input.holds_only_partial_command()


def test_timeout_runs_from_the_start_of_the_command_and_has_a_grace(client_input: ClientInput) -> None:
    client_input.append(b"*1\r\n", 11.0)
    client_input.record_examined(has_partial_command=True)
    overdue_at = 11.0 + timeouts.READ_TIMEOUT_S
    grace_over_at = overdue_at + timeouts.UNREAD_INPUT_GRACE_S
    assert not client_input.is_overdue(overdue_at)
    assert client_input.is_overdue(overdue_at + 0.01)
    assert not client_input.is_grace_over(grace_over_at)
    assert client_input.is_grace_over(grace_over_at + 0.01)


def test_each_command_arrives_with_its_own_last_byte(client_input: ClientInput) -> None:
    ping = encode_resp_array(b"PING")
    client_input.append(ping + ping[:3], 11.0)
    client_input.append(ping[3:] + ping, 12.0)
    client_input.append(ping, 13.0)
    arrivals = []
    while client_input.take_command() is not None:
        arrivals.append(client_input.command_arrived_at)
        client_input.buffer.drop_taken_bytes()
    assert arrivals == [11.0, 12.0, 12.0, 13.0]
