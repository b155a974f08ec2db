"""SIGHUP: the program reads its configuration again and applies new discovery and counter addresses."""

from __future__ import annotations

import asyncio
import logging
import signal
from dataclasses import replace
from pathlib import Path

import pytest

from ingress.process.ingress import Ingress
from ingress.process.reload import apply_reload, restart_required_fields
from tests.support.counter import scripted_counter
from tests.support.discovery import ScriptedAgent, list_body
from tests.support.ingress import serving
from tests.support.peers import (
    SETTINGS,
    Caller,
    Peer,
    backend,
    command,
    config,
    config_text,
    entry,
    run,
    until,
    value,
)
from tests.support.process import CONFIG_FILE, free_port, listening, log_line, running


def test_program_applies_a_new_configuration_and_rejects_an_invalid_one(tmp_path: Path) -> None:
    path = tmp_path / CONFIG_FILE

    def address_text(agent: ScriptedAgent) -> str:
        return "{}:{}".format(*agent.peer.address)

    async def body() -> None:
        async with backend(value(b"one")) as one, backend(value(b"two")) as two:
            first = ScriptedAgent(list_body(40, True, entry(one.address)))
            # The new agent numbers its versions differently, and closes the connection of its first call.
            second = ScriptedAgent(b"", list_body(3, True, entry(two.address, "s2")))
            async with (
                first.peer,
                second.peer,
                listening(tmp_path, discovery=address_text(first)) as (process, address),
            ):

                def new_config_text(agent: ScriptedAgent) -> str:
                    return config_text(listen="{}:{}".format(*address), discovery=address_text(agent))

                caller = await Caller.to(address)
                await until(lambda: len(first.asked) == 2)
                assert await caller.ask(command()) == b"one"
                for bad, key in (("{", "EDGE_CONFIG"), (config_text(seed="xyz"), "seed")):
                    path.write_text(bad, encoding="utf-8")
                    process.send_signal(signal.SIGHUP)
                    await log_line(process, "configuration rejected", key)
                path.unlink()
                process.send_signal(signal.SIGHUP)
                await log_line(process, "configuration rejected", "EDGE_CONFIG")
                assert await caller.ask(command()) == b"one"
                path.write_text(new_config_text(first), encoding="utf-8")  # unchanged, so the watch continues
                process.send_signal(signal.SIGHUP)
                await log_line(process, "configuration reloaded")
                assert first.peer.connections == 1
                assert not first.peer.ended
                path.write_text(new_config_text(second), encoding="utf-8")
                process.send_signal(signal.SIGHUP)
                await until(lambda: len(second.asked) >= 3 and first.peer.ended)
                assert second.asked[:2] == ["/api/targets"] * 2
                assert await caller.ask(command()) == b"two"
                # SIGHUP still takes effect during the shutdown: the program switches back to the first agent.
                path.write_text(new_config_text(first), encoding="utf-8")
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                await until(lambda: first.peer.connections == 2)
                assert await process.wait() == 0

    run(body())


def test_reload_moves_the_counter_and_closes_the_old_connections(tmp_path: Path) -> None:
    async def body() -> None:
        async with scripted_counter(b"ok 1\r\n") as old, scripted_counter(b"ok 1\r\n") as new:
            agents = [ScriptedAgent(list_body(1, True)) for _ in range(3)]
            async with agents[0].peer, agents[1].peer, agents[2].peer:

                def peer_addresses(agent: ScriptedAgent, counter: Peer) -> dict[str, str]:
                    return {
                        "discovery": "{}:{}".format(*agent.peer.address),
                        "counter": "{}:{}".format(*counter.address),
                    }

                settings = SETTINGS | {"family-info": {"counter": True, "count-wait-s": 5.0}}
                ingress = Ingress(config(settings=settings, **peer_addresses(agents[0], old)))
                stop = asyncio.Event()
                task = asyncio.create_task(ingress.run(stop))
                assert ingress.counter is not None
                await until(lambda: len(agents[0].asked) == 2)
                ingress.counter.increment(7, 1.0, 60.0)
                await until(lambda: old.commands)
                task_count_before = len(asyncio.all_tasks())
                for agent, counter in ((agents[1], new), (agents[2], new), (agents[2], new)):
                    ingress.reload(config(settings=settings, **peer_addresses(agent, counter)))
                await until(lambda: len(agents[2].asked) == 2 and old.ended and agents[0].peer.ended)
                await until(lambda: agents[1].peer.ended == agents[1].peer.connections)
                assert agents[2].peer.connections == 1
                ingress.counter.increment(7, 1.0, 60.0)
                await until(lambda: new.commands)
                # One watch, and the tasks of the scripted peers for their open connections.
                assert len(asyncio.all_tasks()) <= task_count_before
                stop.set()
                await task

    run(body())


def test_reload_before_the_watch_starts_fetches_the_full_list_from_the_new_agent() -> None:
    """The new agent may number versions differently, so changes since a known version may omit backends."""

    async def body() -> None:
        old, new = ScriptedAgent(list_body(1, True)), ScriptedAgent(list_body(50, True), list_body(51, False))
        async with old.peer, new.peer:
            ingress = Ingress(config(entry(("127.0.0.1", 1)), discovery="{}:{}".format(*old.peer.address)))
            stop = asyncio.Event()
            task = asyncio.create_task(ingress.run(stop))
            await asyncio.sleep(0)  # the startup pause has begun; the ingress does not listen yet
            ingress.reload(config(discovery="{}:{}".format(*new.peer.address)))
            assert ingress.watch is None  # the watch starts only once, after the startup pause
            await until(lambda: len(new.asked) == 3)
            assert new.asked[0] == "/api/targets"
            assert not old.asked
            assert new.peer.connections == 1
            stop.set()
            await task

    run(body())


def test_reload_after_the_shutdown_starts_nothing() -> None:
    async def body() -> None:
        old, new = ScriptedAgent(list_body(1, True)), ScriptedAgent()
        async with old.peer, new.peer:
            ingress = Ingress(config(discovery="{}:{}".format(*old.peer.address)))
            stop = asyncio.Event()
            task = asyncio.create_task(ingress.run(stop))
            await until(lambda: len(old.asked) == 2)
            stop.set()
            await until(lambda: ingress.is_closed)
            ingress.reload(config(discovery="{}:{}".format(*new.peer.address)))
            await task
            assert ingress.watch is not None
            assert ingress.watch.done()
            assert not new.peer.connections

    run(body())


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_startup_stays_pending_until_its_handler_is_set(
    number: signal.Signals, tmp_path: Path
) -> None:
    """The signal arrives while the program imports its modules; unblocked, it would kill the process."""
    path, stub = tmp_path / CONFIG_FILE, tmp_path / "uvloop.py"
    text = config_text(listen=f"127.0.0.1:{free_port()}")
    # This module is found in place of uvloop; it signals the process and then imports the real uvloop.
    stub.write_text(
        f"import os, sys\nos.kill(os.getpid(), {int(number)})\nsys.path.remove({str(tmp_path)!r})\n"
        "del sys.modules['uvloop']\nimport uvloop\n",
        encoding="utf-8",
    )

    async def body() -> None:
        async with running(path, text, search=str(tmp_path)) as process:
            assert process.stderr is not None
            if number is signal.SIGHUP:
                assert "discovery" in await log_line(process, "configuration reloaded")
                await log_line(process, "listening")
                process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert b"listening" not in await process.stderr.read()

    run(body())


def test_endpoint_list_of_the_configuration_is_released_after_startup(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body() -> None:
        started = config(entry(("127.0.0.1", 1)))
        async with serving(started) as (ingress, _):
            assert ingress.gateway.balancer.ready_backends.keys() == {"s1"}
            assert not ingress.config.known.backends
            assert not ingress.config.known.addresses
            ingress.reload(started)

    run(body())
    assert "restart required" not in caplog.text  # a reload does not compare the endpoint list


def test_only_changes_that_a_reload_does_not_apply_require_a_restart() -> None:
    current = config(entry(("127.0.0.1", 1)))
    new = config(discovery="127.0.0.1:9", seed="1", name="n1", listen="127.0.0.1:7")
    assert restart_required_fields(current, current) == []
    assert restart_required_fields(current, new) == ["name", "listen"]
    assert apply_reload(current, new) == replace(current, discovery=("127.0.0.1", 9))


def test_reload_logs_the_fields_that_require_a_restart(caplog: pytest.LogCaptureFixture) -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, _):
            ingress.reload(config(name="n1", discovery="127.0.0.1:9"))

    with caplog.at_level(logging.INFO):
        run(body())
    messages = [record.getMessage() for record in caplog.records]
    assert "configuration reloaded discovery=127.0.0.1:9 counter=none" in messages
    assert "restart required fields=name" in messages
