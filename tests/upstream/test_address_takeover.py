"""Backends at whose address another process has come up, before the list removes them."""

from __future__ import annotations

import ingress.interface as api
from ingress.discovery.endpoint_list import parse_endpoint_list
from ingress.interface import Backend, Outcome, Readiness
from ingress.upstream import address_owners
from ingress.upstream.address_owners import AddressOwners
from tests.support.ingress import install_scripted_gateway, running_ingress, send_to_s1
from tests.support.peers import (
    RespClient,
    make_command,
    make_config,
    make_endpoint_entry,
    make_scripted_backend,
    run_async_test,
)
from tests.support.pool import PoolUnderTest


def test_attempt_for_a_backend_is_not_sent_to_the_process_that_took_its_address() -> None:
    """Guards against taking a new process for the one that was at its address before."""

    async def body() -> None:
        async with make_scripted_backend() as backend:
            pool = PoolUnderTest(backend.address)
            pool.start_attempt("s0")
            assert (await pool.wait_for_result())[0] is Outcome.OK
            pool.update_endpoints((Backend("new"), backend.address), is_complete_list=False)
            pool.start_attempt("s0")
            assert (await pool.wait_for_result(2))[0] is Outcome.CONNECT_FAILED
            pool.start_attempt("new")
            assert (await pool.wait_for_result(3))[0] is Outcome.OK
            assert len(backend.received_commands) == 2
            assert backend.connection_count == 2

    run_async_test(body())


def test_backend_that_was_never_contacted_is_not_reached_at_an_address_that_another_took() -> None:
    async def body() -> None:
        async with make_scripted_backend() as backend:
            pool = PoolUnderTest(backend.address)
            pool.update_endpoints((Backend("new"), backend.address), is_complete_list=False)
            pool.start_attempt("s0")
            assert (await pool.wait_for_result())[0] is Outcome.CONNECT_FAILED
            assert backend.received_commands == []

    run_async_test(body())


def test_backend_that_moves_in_the_same_change_stays() -> None:
    async def body() -> None:
        async with make_scripted_backend() as first, make_scripted_backend() as second:
            pool = PoolUnderTest(first.address)
            pool.start_attempt("s0")
            await pool.wait_for_result()
            pool.update_endpoints(
                (Backend("new"), first.address), (Backend("s0"), second.address), is_complete_list=False
            )
            pool.start_attempt("s0")
            assert (await pool.wait_for_result(2))[0] is Outcome.OK
            assert len(second.received_commands) == 1

    run_async_test(body())


def test_backend_gets_its_address_back_when_the_other_is_removed() -> None:
    async def body() -> None:
        async with make_scripted_backend() as backend:
            pool = PoolUnderTest(backend.address)
            pool.update_endpoints((Backend("new"), backend.address), is_complete_list=False)
            removed = Backend("new", readiness=Readiness.REMOVED)
            pool.update_endpoints((removed, backend.address), is_complete_list=False)
            pool.start_attempt("s0")
            assert (await pool.wait_for_result())[0] is Outcome.OK

    run_async_test(body())


def test_decision_module_is_told_that_a_backend_lost_its_address() -> None:
    async def body() -> None:
        async with make_scripted_backend() as backend:
            config = make_config(make_endpoint_entry(backend.address))
            async with running_ingress(config) as (ingress, address):
                gateway = install_scripted_gateway(ingress, send_to_s1)
                client = await RespClient.connect(address)
                await client.send_and_read_reply(make_command())
                entry = make_endpoint_entry(backend.address, "new", started_ms=5)
                change = parse_endpoint_list({"version": 2, "full": False, "servers": [entry]})
                ingress.on_endpoints_updated(api.EndpointUpdateKind.UPDATE, change)
                [first, second] = gateway.get_events_of_type(api.EndpointUpdate)
                assert [entry.id for entry in first.backends] == ["new"]
                [removed] = second.backends
                assert (removed.id, removed.readiness) == ("s1", Readiness.REMOVED)

    run_async_test(body())


def test_number_of_remembered_owners_is_bounded() -> None:
    owners = AddressOwners()
    for number in range(address_owners.MAX_OWNERS + 1):
        owners.claim(("127.0.0.1", number), f"s{number}")
    assert not owners.belongs_to_other(("127.0.0.1", 0), "other")
    assert owners.belongs_to_other(("127.0.0.1", 1), "other")
