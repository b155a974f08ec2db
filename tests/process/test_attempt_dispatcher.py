"""Attempts: at most one in flight per request, and none sent for an answered or cancelled request."""

from __future__ import annotations

import ingress.interface as api
from tests.support.ingress import install_scripted_gateway, running_ingress, send_to_s1
from tests.support.peers import (
    DelayedConnectLoop,
    RespClient,
    make_command,
    make_config,
    make_endpoint_entry,
    make_scripted_backend,
    run_async_test,
    wait_until,
)


def test_earlier_attempt_is_cancelled_before_another_is_sent() -> None:
    async def body() -> None:
        async with (
            make_scripted_backend(b"") as first_peer,
            make_scripted_backend() as second_peer,
            running_ingress(
                make_config(
                    make_endpoint_entry(first_peer.address), make_endpoint_entry(second_peer.address, "s2")
                )
            ) as (ingress, address),
        ):

            def decide(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.TimerFired):
                    return [api.SendAttempt("1", "s2")]
                return [*send_to_s1(event), api.SetTimer(0.1, 1)] if isinstance(event, api.Request) else []

            gateway = install_scripted_gateway(ingress, decide)
            caller = await RespClient.connect(address)
            assert await caller.send_and_read_reply(make_command("x")) == b"x"
            assert [e.outcome for e in gateway.get_events_of_type(api.AttemptEnded)] == [
                api.Outcome.CANCELLED,
                api.Outcome.OK,
            ]
            await wait_until(lambda: first_peer.ended_connection_count)

    run_async_test(body())


def test_attempt_beyond_the_maximum_is_superseded() -> None:
    async def body() -> None:
        async with (
            make_scripted_backend(b"-ERR failed\r\n") as peer,
            running_ingress(make_config(make_endpoint_entry(peer.address))) as (ingress, address),
        ):

            def decide(event: api.Event) -> list[api.Action]:
                must_retry = isinstance(event, api.AttemptEnded) and not event.finished and event.attempt < 4
                return [api.SendAttempt(event.id, "s1")] if must_retry else send_to_s1(event)  # type: ignore[union-attr]

            gateway = install_scripted_gateway(ingress, decide)
            caller = await RespClient.connect(address)
            assert str(await caller.send_and_read_reply(make_command(wait_ms=300))) == "ERR failed"
            outcomes = [(e.attempt, e.outcome) for e in gateway.get_events_of_type(api.AttemptEnded)]
            assert outcomes == [*((n, api.Outcome.ERROR) for n in range(4)), (4, api.Outcome.SUPERSEDED)]

    run_async_test(body())


def test_attempt_waiting_for_a_connection_is_not_sent_after_the_client_disconnects() -> None:
    """The client disconnects while the connection to the backend is still being established."""

    async def body() -> None:
        async with (
            make_scripted_backend() as peer,
            running_ingress(make_config(make_endpoint_entry(peer.address))) as (ingress, address),
        ):
            gateway = install_scripted_gateway(ingress, send_to_s1)
            ingress.pool.loop = delayed_loop = DelayedConnectLoop()  # type: ignore[assignment]
            caller = await RespClient.connect(address)
            caller.writer.write(make_command("00000000000000aa"))
            await wait_until(lambda: ingress.pool.connection_count)
            caller.writer.close()
            await wait_until(lambda: gateway.get_events_of_type(api.RequestCancelled))
            [ended] = gateway.get_events_of_type(api.AttemptEnded)
            assert ended.outcome is api.Outcome.SUPERSEDED
            assert ended.finished
            assert not ingress.requests
            assert not ingress.attempt_dispatcher.in_flight
            assert peer.connection_count == 0
            delayed_loop.connect_allowed.set()
            [endpoint] = ingress.pool.endpoint_table.contacted_endpoints.values()
            await wait_until(lambda: endpoint.idle_connections)
            other = await RespClient.connect(address)
            assert await other.send_and_read_reply(make_command("00000000000000bb")) == b"00000000000000bb"
            assert [arguments[2] for arguments in peer.received_commands] == [b"00000000000000bb"]
            assert peer.connection_count == 1
            assert len(gateway.get_events_of_type(api.AttemptEnded)) == 2

    run_async_test(body())


def test_attempt_waiting_for_connection_reuse_is_dropped_when_the_client_disconnects() -> None:
    async def body() -> None:
        async with (
            make_scripted_backend() as peer,
            running_ingress(make_config(make_endpoint_entry(peer.address))) as (ingress, address),
        ):
            gateway = install_scripted_gateway(ingress, send_to_s1)
            caller, other = await RespClient.connect(address), await RespClient.connect(address)
            ingress.pool.idle_connections.reuse_delay_s = 0.1
            assert await other.send_and_read_reply(make_command("first")) == b"first"
            caller.writer.write(make_command("gone"))
            await wait_until(lambda: len(gateway.get_events_of_type(api.Request)) == 2)
            caller.writer.close()
            await wait_until(lambda: gateway.get_events_of_type(api.RequestCancelled))
            # This request waits for the same connection, behind the dropped attempt.
            assert await other.send_and_read_reply(make_command("later")) == b"later"
            assert [arguments[2] for arguments in peer.received_commands] == [b"first", b"later"]

    run_async_test(body())
