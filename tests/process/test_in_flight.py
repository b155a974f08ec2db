"""The table of requests in flight: its limits and its keys."""

from __future__ import annotations

from ingress.downstream.commands import Command
from ingress.downstream.request_handler import PendingReply
from ingress.process.in_flight import REQUEST_OVERHEAD_BYTES, InFlightRequest, InFlightRequests
from tests.support.writer import FakeWriter


def add_request(requests: InFlightRequests, client_id: bytes, body: bytes = b"") -> InFlightRequest:
    arguments = [b"API.WRITE", b"7", client_id, b"c=order", body]
    command = Command(arguments, client_id, "7", "order", "basic", 1.0, 1.0, 1, 0, False, True)
    return requests.add(PendingReply(FakeWriter()), command, 5.0)


def test_each_request_gets_its_own_key() -> None:
    requests = InFlightRequests(max_requests=10, max_bytes=1 << 20)
    first = add_request(requests, b"same")
    requests.remove(first.key)
    second = add_request(requests, b"same")
    assert (first.key, second.key) == ("1", "2")
    assert second.reply.request_key == "2"
    assert requests.get("1") is None
    assert requests.get("2") is second
    assert list(requests) == [second]


def test_table_is_full_at_the_maximum_number_of_requests() -> None:
    requests = InFlightRequests(max_requests=2, max_bytes=1 << 20)
    first = add_request(requests, b"a")
    assert not requests.is_full
    add_request(requests, b"b")
    assert requests.is_full
    requests.remove(first.key)
    assert not requests.is_full


def test_table_is_full_above_the_maximum_number_of_bytes() -> None:
    size = REQUEST_OVERHEAD_BYTES + len(b"API.WRITE7ac=order") + 1000
    requests = InFlightRequests(max_requests=10, max_bytes=size)
    first = add_request(requests, b"a", bytes(1000))
    assert first.size_bytes == size
    assert requests.buffered_bytes == size
    assert not requests.is_full
    add_request(requests, b"b")
    assert requests.is_full
    requests.remove(first.key)
    requests.remove(first.key)  # a second removal has no effect
    assert requests.buffered_bytes == size - 1000
