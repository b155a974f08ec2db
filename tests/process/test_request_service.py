"""Client requests: one final answer each by the deadline, and limits of the requests in flight."""

from __future__ import annotations

import asyncio

import hiredis
import pytest

import ingress.interface as api
from tests.support.ingress import script_gateway, send_to_s1, serving
from tests.support.peers import Caller, backend, command, config, entry, resp, run, until


def test_disconnect_cancels_the_request() -> None:
    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            gateway = script_gateway(ingress, send_to_s1)
            caller = await Caller.to(address)
            caller.writer.write(command())
            await until(lambda: peer.commands)
            caller.writer.close()
            await until(lambda: gateway.events_of(api.RequestCancelled))
            assert not ingress.requests

    run(body())


@pytest.mark.parametrize("sent", [True, False])
def test_final_answer_is_enforced_when_module_and_backend_are_silent(sent: bool) -> None:
    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            gateway = script_gateway(ingress, send_to_s1 if sent else None)
            caller = await Caller.to(address)
            clock = asyncio.get_running_loop().time
            start = clock()
            assert str(await caller.ask(command(d=300))) == "ERR failed"
            assert clock() - start > 0.2
            assert len(gateway.events_of(api.RequestCancelled)) == 1
            await until(lambda: not ingress.attempt_dispatcher.in_flight and not ingress.requests)
            assert len(gateway.events_of(api.AttemptEnded)) == sent
            assert await caller.ask(resp(b"PING")) == b"PONG"

    run(body())


def test_decision_module_answers_before_the_deadline_is_enforced() -> None:
    """With a silent backend, the attempt times out first and the module gives the final answer."""

    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            caller = await Caller.to(address)
            assert isinstance(await caller.ask(command(d=500)), hiredis.ReplyError)
            assert not ingress.requests
            assert not ingress.gateway.requests

    run(body())


def test_rejection_includes_its_retry_after() -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, address):
            waits = {"1": 0.0, "2": 1.2501}
            script_gateway(ingress, lambda e: [api.Reject(e.id, waits[e.id])])
            caller = await Caller.to(address)
            assert str(await caller.ask(command())) == "BUSY"
            assert str(await caller.ask(command())) == "BUSY 1251"

    run(body())


def test_second_final_answer_is_dropped() -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, address):
            script_gateway(ingress, lambda e: [api.Fail(e.id), api.Reject(e.id)])
            caller = await Caller.to(address)
            assert str(await caller.ask(command())) == "ERR failed"
            assert await caller.ask(resp(b"PING")) == b"PONG"

    run(body())


def test_requests_in_flight_are_bounded() -> None:
    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            ingress.requests.max_requests = 1
            caller = await Caller.to(address)
            other = await Caller.to(address)
            caller.writer.write(command())
            await until(lambda: peer.commands)
            assert str(await other.ask(command("other"))) == "BUSY"

    run(body())


def test_client_request_id_in_flight_is_not_accepted_twice() -> None:
    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            script_gateway(ingress, send_to_s1)
            one, two = await Caller.to(address), await Caller.to(address)
            one.writer.write(command("same", d=300))
            await until(lambda: peer.commands)
            assert "open request" in str(await two.ask(command("same")))
            assert str(await one.answer()) == "ERR failed"
            two.writer.write(command("same", d=300))  # allowed again, since the first request is answered
            assert str(await two.answer()) == "ERR failed"
            assert len(peer.commands) == 2
            assert not ingress.requests.unanswered_client_request_ids

    run(body())
