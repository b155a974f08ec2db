"""Tests of the endpoint table: the cost of updates, and updates that arrive while an attempt waits."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest

from ingress.interface import Backend, Outcome, Readiness
from ingress.network.addresses import AddressBook
from ingress.upstream.endpoint import UpstreamEndpoint
from tests.support.peers import (
    Address,
    DelayedConnections,
    Peer,
    Reader,
    Writer,
    backend,
    read_command,
    run,
    until,
    value,
)
from tests.support.pool import PoolUnderTest

BACKEND_COUNT = 1_000
BACKEND_ROWS = [(Backend(f"s{number}"), ("127.0.0.1", number + 1)) for number in range(BACKEND_COUNT)]


class AccessCountingAddressBook(AddressBook):
    """An address book that counts the entries that are read, written or iterated over."""

    __slots__ = ("touched",)

    def __init__(self, packed: dict[str, int]) -> None:
        super().__init__(packed)
        self.touched = 0

    def __getitem__(self, name: str) -> Address:
        self.touched += 1
        return super().__getitem__(name)

    def __setitem__(self, name: str, address: Address) -> None:
        self.touched += 1
        super().__setitem__(name, address)

    def __iter__(self) -> Iterator[str]:
        self.touched += len(self)
        return super().__iter__()


class AccessCountingEndpoints(dict[str, UpstreamEndpoint]):
    """A dictionary that counts the endpoints that are looked up or iterated over."""

    touched = 0

    def get(self, *args: Any) -> Any:
        self.touched += 1
        return super().get(*args)

    def __getitem__(self, name: str) -> UpstreamEndpoint:
        self.touched += 1
        return super().__getitem__(name)

    def __iter__(self) -> Iterator[str]:
        self.touched += len(self)
        return super().__iter__()

    def keys(self) -> Any:
        self.touched += len(self)
        return super().keys()

    def values(self) -> Any:
        self.touched += len(self)
        return super().values()

    def items(self) -> Any:
        self.touched += len(self)
        return super().items()


@pytest.mark.parametrize("readiness", list(Readiness))
def test_update_of_one_entry_accesses_no_other_entry(readiness: Readiness) -> None:
    async def body() -> None:
        pool = PoolUnderTest()
        pool.update(*BACKEND_ROWS)
        endpoints = AccessCountingEndpoints(
            {info.id: UpstreamEndpoint(address) for info, address in BACKEND_ROWS}
        )
        before = {
            name: (id(endpoint), endpoint.address, endpoint.is_draining)
            for name, endpoint in endpoints.items()
        }
        pool.pool.endpoints.addresses = book = AccessCountingAddressBook.copy_of(
            pool.pool.endpoints.addresses
        )
        pool.pool.endpoints.contacted = endpoints
        endpoints.touched = 0
        pool.update((Backend("s7", readiness=readiness), ("127.0.0.2", 7)), full=False)
        assert book.touched <= 2
        assert endpoints.touched <= 2
        after = {
            name: (id(endpoint), endpoint.address, endpoint.is_draining)
            for name, endpoint in endpoints.items()
        }
        assert {name for name in before if after.get(name) != before[name]} == {"s7"}
        assert len(pool.pool.endpoints.addresses) == BACKEND_COUNT - (readiness is Readiness.REMOVED)

    run(body())


def test_endpoint_is_created_by_the_first_attempt() -> None:
    async def body() -> None:
        async with backend() as peer:
            pool = PoolUnderTest()
            pool.update(*BACKEND_ROWS, (Backend("s-here"), peer.address))
            assert not pool.pool.endpoints.contacted
            pool.send("s-here")
            assert (await pool.result())[0] is Outcome.OK
            assert list(pool.pool.endpoints.contacted) == ["s-here"]

    run(body())


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.REMOVED])
def test_last_of_two_entries_with_the_same_id_applies(readiness: Readiness) -> None:
    async def body() -> None:
        async with backend() as peer:
            pool = PoolUnderTest()
            pool.update((Backend("s0", readiness=readiness), peer.address), (Backend("s0"), peer.address))
            pool.send()
            assert (await pool.result())[0] is Outcome.OK
            pool.update((Backend("s0"), peer.address), (Backend("s0", readiness=readiness), peer.address))
            pool.send()
            assert (await pool.result(2))[0] is Outcome.CONNECT_FAILED

    run(body())


@pytest.mark.parametrize(
    ("change", "outcome"),
    [
        ("kept", Outcome.OK),
        ("drains", Outcome.CONNECT_FAILED),
        ("moved", Outcome.CONNECT_FAILED),
        ("left out", Outcome.CONNECT_FAILED),
        ("left out and back", Outcome.CONNECT_FAILED),
    ],
)
def test_full_list_that_arrives_while_a_connection_is_opened(change: str, outcome: Outcome) -> None:
    async def body() -> None:
        async with backend(value(b"first")) as peer, backend(value(b"second")) as other:
            pool = PoolUnderTest(peer.address, other.address)
            delayed_connections = DelayedConnections()
            pool.pool.loop = delayed_connections  # type: ignore[assignment]
            pool.send()  # the first attempt creates the endpoint
            await asyncio.sleep(0)
            rest = (Backend("s1"), other.address)
            if change.startswith("left out"):
                pool.update(rest)
            if change != "left out":
                readiness = Readiness.DRAINING if change == "drains" else Readiness.READY
                address = other.address if change == "moved" else peer.address
                pool.update((Backend("s0", readiness=readiness), address), rest)
            delayed_connections.up.set()
            assert (await pool.result())[0] is outcome
            assert len(peer.commands) == (outcome is Outcome.OK)
            assert not other.commands
            await until(lambda: pool.pool.connection_count == (outcome is Outcome.OK))

    run(body())


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.REMOVED])
def test_no_attempt_is_written_to_a_draining_or_removed_backend(readiness: Readiness) -> None:
    """Even a waiting attempt is not written, as the list may arrive after the end of the grace period."""

    async def body() -> None:
        async with backend() as peer:
            pool = PoolUnderTest(peer.address)
            pool.send()  # its connection is established after the update
            pool.update((Backend("s0", readiness=readiness), peer.address), full=False)
            assert await pool.result() == (Outcome.CONNECT_FAILED, None)
            pool.send()
            assert await pool.result(2) == (Outcome.CONNECT_FAILED, None)
            assert not peer.commands
            pool.update((Backend("s0"), peer.address), full=False)
            pool.send()
            assert (await pool.result(3))[0] is Outcome.OK

    run(body())


def test_backend_missing_from_a_full_list_is_removed() -> None:
    async def body() -> None:
        async with backend() as peer, backend() as other:
            pool = PoolUnderTest(peer.address, other.address)
            pool.send("s0")
            await pool.result()
            pool.update((Backend("s1"), other.address))
            await until(lambda: pool.pool.connection_count == 0)
            pool.send("s0")
            assert await pool.result(2) == (Outcome.CONNECT_FAILED, None)
            assert len(peer.commands) == 1

    run(body())


def test_connection_in_use_while_its_backend_changes_address_is_not_reused() -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        old.commands.append(await read_command(reader))
        await until(lambda: moved)
        writer.write(value(b"old"))
        await reader.read()

    async def body() -> None:
        async with old, backend(value(b"new")) as new:
            pool = PoolUnderTest(old.address)
            pool.send()
            await until(lambda: old.commands)
            pool.update((Backend("s0"), new.address), full=False)
            moved.append(True)
            assert await pool.result() == (Outcome.OK, b"old")
            pool.send()
            assert await pool.result(2) == (Outcome.OK, b"new")

    moved: list[bool] = []
    old = Peer(script)
    run(body())


def test_attempt_goes_to_the_new_address_of_a_backend() -> None:
    async def body() -> None:
        async with backend(value(b"old")) as old, backend(value(b"new")) as new:
            pool = PoolUnderTest(old.address)
            pool.send()
            await pool.result()
            pool.update((Backend("s0"), new.address), full=False)
            pool.send()
            assert await pool.result(2) == (Outcome.OK, b"new")

    run(body())


@pytest.mark.parametrize("back", ["same", "elsewhere"])
def test_waiting_attempt_fails_if_its_backend_is_removed_and_listed_again(back: str) -> None:
    async def body() -> None:
        async with backend() as peer, backend() as other:
            pool = PoolUnderTest(peer.address)
            pool.send()  # its connection is established after both updates
            pool.update((Backend("s0", readiness=Readiness.REMOVED), peer.address), full=False)
            pool.update((Backend("s0"), peer.address if back == "same" else other.address), full=False)
            assert await pool.result() == (Outcome.CONNECT_FAILED, None)
            pool.send()
            assert (await pool.result(2))[0] is Outcome.OK
            assert len(peer.commands) == (back == "same")
            assert len(other.commands) == (back != "same")
            await until(lambda: pool.pool.connection_count == 1)

    run(body())


@pytest.mark.parametrize("change", ["moved", "gone", "drains"])
def test_attempt_waiting_for_reuse_is_not_written_to_a_backend_that_moved_or_left(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def body() -> None:
        async with backend() as peer, backend() as other:
            pool = PoolUnderTest(peer.address)
            pool.send()
            assert (await pool.result())[0] is Outcome.OK
            monkeypatch.setattr(pool.pool.idle, "reuse_delay_s", 0.05)
            pool.send()  # waits for the reuse delay of the idle connection
            readiness = {"moved": Readiness.READY, "gone": Readiness.REMOVED, "drains": Readiness.DRAINING}
            address = other.address if change == "moved" else peer.address
            pool.update((Backend("s0", readiness=readiness[change]), address), full=False)
            outcome = Outcome.OK if change == "moved" else Outcome.CONNECT_FAILED
            assert (await pool.result(2))[0] is outcome
            assert len(peer.commands) == 1
            assert len(other.commands) == (change == "moved")

    run(body())
