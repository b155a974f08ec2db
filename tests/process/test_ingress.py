"""The whole ingress on sockets: startup, forwarding, and exceptions in the decision module."""

from __future__ import annotations

import asyncio

import pytest

import ingress.interface as api
from ingress.process import ingress as ingress_module
from ingress.process.ingress import Ingress
from tests.support.ingress import script_gateway, send_to_s1, serving
from tests.support.peers import (
    Caller,
    Peer,
    Reader,
    Writer,
    backend,
    command,
    config,
    entry,
    read_command,
    run,
    until,
    value,
)


def test_ingress_pauses_at_startup_before_it_listens(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process that listened at once left requests unread for 1.2 s while its startup was throttled."""

    async def body() -> None:
        monkeypatch.setattr(ingress_module, "STARTUP_PAUSE_S", 3600.0)
        ingress = Ingress(config())
        address = ingress.listener.sock.getsockname()
        task = asyncio.create_task(ingress.run(asyncio.Event()))
        await asyncio.sleep(0)
        with pytest.raises(ConnectionRefusedError):
            await Caller.to(address)
        assert ingress.watch is None
        task.cancel()
        ingress.listener.close()

    run(body())


@pytest.mark.parametrize("body", [b"x", bytes(range(256)) * 256])
def test_value_is_forwarded_unchanged(body: bytes) -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        arguments = await read_command(reader)
        peer.commands.append(arguments)
        writer.write(value(arguments[4]))
        await reader.read()

    async def scenario() -> None:
        async with peer, serving(config(entry(peer.address))) as (_, address):
            caller = await Caller.to(address)
            assert await caller.ask(command(cls="order", body=body)) == body
            [arguments] = peer.commands
            assert arguments[0] == b"API.WRITE"
            assert arguments[1] == b"%016x" % 7
            assert b"k=0123456789abcdef" in arguments[3].split(b",")

    peer = Peer(script)
    run(scenario())


def test_exception_in_the_decision_module_fails_only_one_request(caplog: pytest.LogCaptureFixture) -> None:
    """The actions from before the exception are executed, in particular the module's next timer."""

    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (ingress, address):

            def decide(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Request) and event.customer.endswith("9"):
                    gateway.actions.append(api.SetTimer(0.0, 5))
                    raise RuntimeError("a fault")
                return send_to_s1(event)

            gateway = script_gateway(ingress, decide)
            caller = await Caller.to(address)
            caller.writer.write(command("one") + command("two", customer=9) + command("three"))
            assert await caller.answer() == b"one"
            assert str(await caller.answer()) == "ERR failed"
            assert await caller.answer() == b"three"
            await until(lambda: gateway.events_of(api.TimerFired))
            await until(lambda: not ingress.requests)

    run(body())
    assert sum("decision module failed" in record.getMessage() for record in caplog.records) == 1
