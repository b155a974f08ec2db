"""The complete ingress on sockets: startup, forwarding, and exceptions in the decision module."""

from __future__ import annotations

import asyncio

import pytest

import ingress.interface as api
from ingress.process import ingress as ingress_module
from ingress.process.ingress import Ingress
from tests.support.ingress import install_scripted_gateway, running_ingress, send_to_s1
from tests.support.peers import (
    Reader,
    RespClient,
    ScriptedServer,
    Writer,
    encode_value_reply,
    make_command,
    make_config,
    make_endpoint_entry,
    make_scripted_backend,
    read_command,
    run_async_test,
    wait_until,
)


def test_ingress_pauses_at_startup_before_it_listens(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the pause, a throttled process left requests unread for as long as its start took: 1.2 s."""

    async def body() -> None:
        monkeypatch.setattr(ingress_module, "STARTUP_PAUSE_S", 3600.0)
        ingress = Ingress(make_config())
        address = ingress.listener.sock.getsockname()
        task = asyncio.create_task(ingress.run(asyncio.Event()))
        await asyncio.sleep(0)
        with pytest.raises(ConnectionRefusedError):
            await RespClient.connect(address)
        assert ingress.watch is None
        task.cancel()
        ingress.listener.close()

    run_async_test(body())


@pytest.mark.parametrize("body", [b"x", bytes(range(256)) * 256])
def test_value_is_forwarded_unchanged(body: bytes) -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        arguments = await read_command(reader)
        peer.received_commands.append(arguments)
        writer.write(encode_value_reply(arguments[4]))
        await reader.read()

    async def scenario() -> None:
        async with peer, running_ingress(make_config(make_endpoint_entry(peer.address))) as (_, address):
            caller = await RespClient.connect(address)
            assert await caller.send_and_read_reply(make_command(class_name="order", body=body)) == body
            [arguments] = peer.received_commands
            assert arguments[0] == b"API.WRITE"
            assert arguments[1] == b"%016x" % 7
            assert b"k=0123456789abcdef" in arguments[3].split(b",")

    peer = ScriptedServer(script)
    run_async_test(scenario())


def test_exception_in_the_decision_module_fails_only_one_request(caplog: pytest.LogCaptureFixture) -> None:
    """The actions from before the exception are executed, in particular the module's next timer."""

    async def body() -> None:
        async with (
            make_scripted_backend() as peer,
            running_ingress(make_config(make_endpoint_entry(peer.address))) as (ingress, address),
        ):

            def decide(event: api.Event) -> list[api.Action]:
                if isinstance(event, api.Request) and event.customer.endswith("9"):
                    gateway.actions.append(api.SetTimer(0.0, 5))
                    raise RuntimeError("a fault")
                return send_to_s1(event)

            gateway = install_scripted_gateway(ingress, decide)
            caller = await RespClient.connect(address)
            caller.writer.write(make_command("one") + make_command("two", customer=9) + make_command("three"))
            assert await caller.read_reply() == b"one"
            assert str(await caller.read_reply()) == "ERR failed"
            assert await caller.read_reply() == b"three"
            await wait_until(lambda: gateway.get_events_of_type(api.TimerFired))
            await wait_until(lambda: not ingress.requests)

    run_async_test(body())
    assert sum("decision module failed" in record.getMessage() for record in caplog.records) == 1
