"""Tests of the pool: connections that can't be established, limits over all backends, write deadlines."""

from __future__ import annotations

import errno
import socket

import pytest

from ingress.interface import Outcome
from tests.support.peers import make_scripted_backend, run_async_test, wait_until
from tests.support.pool import PoolUnderTest
from tests.support.sockets import find_refusing_address, unresponsive_address


def test_attempt_on_a_refused_connection_is_connect_failed() -> None:
    """The backend cannot have executed the attempt, and the outcome must say so."""

    async def body() -> None:
        pool = PoolUnderTest(find_refusing_address())
        pool.start_attempt()
        assert await pool.wait_for_result() == (Outcome.CONNECT_FAILED, None)
        pool.start_attempt("unknown")
        assert await pool.wait_for_result(2) == (Outcome.CONNECT_FAILED, None)

    run_async_test(body())


@pytest.mark.parametrize("timeout_s", [5.0, 0.05])
def test_attempt_without_a_connection_in_time_is_connect_failed(timeout_s: float) -> None:
    """The backend cannot have executed the attempt, and the outcome must say so."""

    async def body() -> None:
        with unresponsive_address() as address:
            pool = PoolUnderTest(address, connect_timeout_s=0.1)
            pool.start_attempt(timeout_s=timeout_s)
            assert await pool.wait_for_result() == (Outcome.CONNECT_FAILED, None)
            await wait_until(lambda: pool.pool.connection_count == 0)

    run_async_test(body())


def test_lack_of_descriptors_does_not_count_as_backend_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    async def body() -> None:
        async with make_scripted_backend() as peer:
            pool = PoolUnderTest(peer.address)
            original_socket = socket.socket

            def raise_no_descriptors(*_: object) -> None:
                raise OSError(errno.EMFILE, "too many open files")

            monkeypatch.setattr(socket, "socket", raise_no_descriptors)
            pool.start_attempt()
            assert await pool.wait_for_result() == (Outcome.SUPERSEDED, None)
            monkeypatch.setattr(socket, "socket", original_socket)
            assert pool.pool.connection_count == 0
            pool.start_attempt()
            assert await pool.wait_for_result(2) == (Outcome.OK, b"r1")

    run_async_test(body())


def test_connections_are_limited_over_all_backends_together() -> None:
    async def body() -> None:
        async with make_scripted_backend() as answering_peer, make_scripted_backend(b"") as silent_peer:
            pool = PoolUnderTest(answering_peer.address, silent_peer.address, max_connections=2)
            pool.start_attempt("s0")
            await pool.wait_for_result()
            pool.start_attempt("s1")
            pool.start_attempt("s1")  # its connection replaces the idle one to s0
            pool.start_attempt("s1")
            assert await pool.wait_for_result(2) == (
                Outcome.SUPERSEDED,
                None,
            )  # does not count against the backend
            await wait_until(lambda: len(silent_peer.received_commands) == 2)
            assert pool.pool.connection_count == 2
            assert pool.results[-1].attempt_number == 3

    run_async_test(body())


@pytest.mark.parametrize("uses_new_connection", [True, False])
def test_retry_is_not_written_after_its_write_deadline(uses_new_connection: bool) -> None:
    """A retry after the deduplication window of its backend would take effect a second time."""

    async def body() -> None:
        async with make_scripted_backend() as peer:
            pool = PoolUnderTest(peer.address)
            now = 100.0
            pool.pool.clock = lambda: now
            if not uses_new_connection:
                pool.start_attempt()
                assert (await pool.wait_for_result())[
                    0
                ] is Outcome.OK  # leaves a connection in its reuse delay
            pool.start_attempt(max_write_delay_s=1.0)
            now += 0.995  # the time at which a connection is established or may be reused
            assert await pool.wait_for_result(2 - uses_new_connection) == (Outcome.SUPERSEDED, None)
            now += 1.0
            pool.start_attempt(max_write_delay_s=1.0)  # the connection is still usable
            assert (await pool.wait_for_result(3 - uses_new_connection))[0] is Outcome.OK
            assert len(peer.received_commands) == 2 - uses_new_connection
            assert peer.connection_count == 1

    run_async_test(body())
