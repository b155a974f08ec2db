"""Back-pressure on clients: full pipelines, bounded input, and disconnects seen while reading is paused."""

from __future__ import annotations

import asyncio

import pytest

import ingress.interface as api
from ingress.downstream import command_buffer, connection
from tests.support.ingress import script_gateway, send_to_s1, serving
from tests.support.peers import Caller, backend, command, config, entry, reset, run, until

FAR_AHEAD = 8000  # commands: more than the 256 KiB that one command may have


def commands_ahead(count: int) -> bytes:
    """The commands of a client that sends them all at once, without waiting for replies."""
    return b"".join(command(str(n), d=4000) for n in range(count))


def test_full_pipeline_takes_no_more_commands(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "MAX_PIPELINED", 4)
    max_in_flight = 0

    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (ingress, address):

            def plan(event: api.Event) -> list[api.Action]:
                nonlocal max_in_flight
                max_in_flight = max(max_in_flight, len(ingress.requests))
                return send_to_s1(event)

            script_gateway(ingress, plan)
            caller = await Caller.to(address)
            caller.writer.write(b"".join(command(str(n)) for n in range(50)))
            assert [await caller.answer() for _ in range(50)] == [b"%d" % n for n in range(50)]

    run(body())
    assert max_in_flight == 4


def test_buffered_input_is_bounded_over_all_connections() -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, address):
            ingress.listener.input_budget.max_bytes = 100_000
            part = b"*5\r\n$9\r\nAPI.WRITE\r\n$60000\r\n" + b"x" * 50_000
            callers = [await Caller.to(address) for _ in range(2)]
            callers[0].writer.write(part)
            await until(lambda: ingress.listener.input_budget.used_bytes >= 50_000)
            callers[1].writer.write(part)
            assert "on the way" in str(await callers[1].answer())
            assert ingress.listener.input_budget.used_bytes <= 100_000

    run(body())


@pytest.mark.parametrize("commands", [50, FAR_AHEAD])
def test_disconnect_behind_a_full_pipeline_is_seen_and_its_commands_not_sent(
    commands: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection, "MAX_PIPELINED", 4)

    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            gateway = script_gateway(ingress, send_to_s1)
            caller = await Caller.to(address)
            ahead = commands_ahead(commands)
            assert commands < FAR_AHEAD or len(ahead) > command_buffer.MAX_COMMAND_BYTES
            caller.writer.write(ahead)
            await caller.writer.drain()
            await until(lambda: len(ingress.requests) == 4)
            caller.writer.close()
            # Well before the time of the four is up.
            await asyncio.wait_for(until(lambda: len(gateway.events_of(api.RequestCancelled)) == 4), 2.0)
            assert len(gateway.events_of(api.Request)) == 4
            assert not ingress.listener.input_budget.used_bytes
            await until(lambda: not ingress.listener.connections)

    run(body())


@pytest.mark.parametrize("with_reset", [False, True])
def test_disconnect_is_seen_while_reading_is_paused(
    with_reset: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection, "MAX_PIPELINED", 4)

    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            gateway = script_gateway(ingress, send_to_s1)
            ingress.listener.input_budget.max_bytes = 3000
            caller = await Caller.to(address)
            caller.writer.write(commands_ahead(4 + 20))
            await until(lambda: ingress.listener.input_budget.used_bytes > 1500)
            [client] = ingress.listener.connections
            await until(lambda: client.disconnect_check_timer is not None)
            caller.writer.write(command("behind", d=4000))  # not read: what ends the connection comes behind
            if with_reset:
                reset(caller.writer)
            else:
                caller.writer.close()
            await asyncio.wait_for(until(lambda: len(gateway.events_of(api.RequestCancelled)) == 4), 2.0)
            assert len(gateway.events_of(api.Request)) == 4
            assert not ingress.listener.input_budget.used_bytes

    run(body())


def test_disconnect_is_seen_while_writing_is_blocked() -> None:
    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            gateway = script_gateway(ingress, send_to_s1)
            caller = await Caller.to(address)
            caller.writer.write(command("first", d=4000))
            await until(lambda: ingress.requests)
            [client] = ingress.listener.connections
            client.pause_writing()  # as the transport does where the client reads nothing
            caller.writer.write(commands_ahead(FAR_AHEAD))
            await caller.writer.drain()
            caller.writer.close()
            await asyncio.wait_for(until(lambda: gateway.events_of(api.RequestCancelled)), 1.0)
            assert len(gateway.events_of(api.Request)) == 1
            assert not ingress.listener.input_budget.used_bytes

    run(body())
