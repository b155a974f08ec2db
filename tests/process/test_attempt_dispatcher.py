"""Attempts: at most one in flight per request, and none sent for an answered or cancelled request."""

from __future__ import annotations

import ingress.interface as api
from tests.support.ingress import script_gateway, send_to_s1, serving
from tests.support.peers import Caller, DelayedConnections, backend, command, config, entry, run, until


def test_earlier_attempt_is_cancelled_before_another_is_sent() -> None:
    async def body() -> None:
        async with (
            backend(b"") as one,
            backend() as two,
            serving(config(entry(one.address), entry(two.address, "s2"))) as (ingress, address),
        ):

            def decide(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.TimerFired):
                    return [api.SendAttempt("1", "s2")]
                return [*send_to_s1(event), api.SetTimer(0.1, 1)] if isinstance(event, api.Request) else []

            gateway = script_gateway(ingress, decide)
            caller = await Caller.to(address)
            assert await caller.ask(command("x")) == b"x"
            assert [e.outcome for e in gateway.events_of(api.AttemptEnded)] == [
                api.Outcome.CANCELLED,
                api.Outcome.OK,
            ]
            await until(lambda: one.ended)

    run(body())


def test_attempt_beyond_the_maximum_is_superseded() -> None:
    async def body() -> None:
        async with (
            backend(b"-ERR failed\r\n") as peer,
            serving(config(entry(peer.address))) as (ingress, address),
        ):

            def decide(event: api.Event) -> list[api.Action]:
                must_retry = isinstance(event, api.AttemptEnded) and not event.finished and event.attempt < 4
                return [api.SendAttempt(event.id, "s1")] if must_retry else send_to_s1(event)  # type: ignore[union-attr]

            gateway = script_gateway(ingress, decide)
            caller = await Caller.to(address)
            assert str(await caller.ask(command(d=300))) == "ERR failed"
            outcomes = [(e.attempt, e.outcome) for e in gateway.events_of(api.AttemptEnded)]
            assert outcomes == [*((n, api.Outcome.ERROR) for n in range(4)), (4, api.Outcome.SUPERSEDED)]

    run(body())


def test_attempt_waiting_for_a_connection_is_not_sent_after_the_client_disconnects() -> None:
    """If the client disconnects during the connect, the attempt is not written once the connection is up."""

    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (ingress, address):
            gateway = script_gateway(ingress, send_to_s1)
            ingress.pool.loop = delayed = DelayedConnections()  # type: ignore[assignment]
            caller = await Caller.to(address)
            caller.writer.write(command("00000000000000aa"))
            await until(lambda: ingress.pool.connection_count)
            caller.writer.close()
            await until(lambda: gateway.events_of(api.RequestCancelled))
            [ended] = gateway.events_of(api.AttemptEnded)
            assert ended.outcome is api.Outcome.SUPERSEDED
            assert ended.finished
            assert not ingress.requests
            assert not ingress.attempt_dispatcher.in_flight
            assert peer.connections == 0
            delayed.up.set()
            [endpoint] = ingress.pool.endpoints.contacted.values()
            await until(lambda: endpoint.idle)
            other = await Caller.to(address)
            assert await other.ask(command("00000000000000bb")) == b"00000000000000bb"
            assert [arguments[2] for arguments in peer.commands] == [b"00000000000000bb"]
            assert peer.connections == 1
            assert len(gateway.events_of(api.AttemptEnded)) == 2

    run(body())


def test_attempt_waiting_for_connection_reuse_is_dropped_when_the_client_disconnects() -> None:
    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (ingress, address):
            gateway = script_gateway(ingress, send_to_s1)
            caller, other = await Caller.to(address), await Caller.to(address)
            ingress.pool.idle.reuse_delay_s = 0.1
            assert await other.ask(command("first")) == b"first"
            caller.writer.write(command("gone"))
            await until(lambda: len(gateway.events_of(api.Request)) == 2)
            caller.writer.close()
            await until(lambda: gateway.events_of(api.RequestCancelled))
            # This request waits for the same connection, behind the dropped attempt.
            assert await other.ask(command("later")) == b"later"
            assert [arguments[2] for arguments in peer.commands] == [b"first", b"later"]

    run(body())
