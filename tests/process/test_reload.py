"""SIGHUP: the program reads its configuration again and applies new discovery and counter addresses."""

from __future__ import annotations

import asyncio
import logging
import signal
from dataclasses import replace
from pathlib import Path

import pytest

from ingress.process.ingress import Ingress
from ingress.process.reload import apply_reload, find_fields_requiring_restart
from tests.support.counter import make_scripted_counter
from tests.support.discovery import ScriptedAgent, encode_endpoint_list
from tests.support.ingress import running_ingress
from tests.support.peers import (
    WIRE_SETTINGS,
    RespClient,
    ScriptedServer,
    encode_value_reply,
    make_command,
    make_config,
    make_config_text,
    make_endpoint_entry,
    make_scripted_backend,
    run_async_test,
    wait_until,
)
from tests.support.process import (
    CONFIG_FILE_NAME,
    find_free_port,
    listening_process,
    read_log_line,
    running_process,
)


def test_program_applies_a_new_configuration_and_rejects_an_invalid_one(tmp_path: Path) -> None:
    path = tmp_path / CONFIG_FILE_NAME

    def address_text(agent: ScriptedAgent) -> str:
        return "{}:{}".format(*agent.server.address)

    async def body() -> None:
        async with (
            make_scripted_backend(encode_value_reply(b"one")) as one,
            make_scripted_backend(encode_value_reply(b"two")) as two,
        ):
            first = ScriptedAgent(encode_endpoint_list(40, True, make_endpoint_entry(one.address)))
            # The new agent numbers its versions differently, and closes the connection of its first call.
            second = ScriptedAgent(b"", encode_endpoint_list(3, True, make_endpoint_entry(two.address, "s2")))
            async with (
                first.server,
                second.server,
                listening_process(tmp_path, discovery=address_text(first)) as (process, address),
            ):

                def new_config_text(agent: ScriptedAgent) -> str:
                    return make_config_text(listen="{}:{}".format(*address), discovery=address_text(agent))

                caller = await RespClient.connect(address)
                await wait_until(lambda: len(first.requested_targets) == 2)
                assert await caller.send_and_read_reply(make_command()) == b"one"
                for invalid_text, key in (("{", "EDGE_CONFIG"), (make_config_text(seed="xyz"), "seed")):
                    path.write_text(invalid_text, encoding="utf-8")
                    process.send_signal(signal.SIGHUP)
                    await read_log_line(process, "configuration rejected", key)
                path.unlink()
                process.send_signal(signal.SIGHUP)
                await read_log_line(process, "configuration rejected", "EDGE_CONFIG")
                assert await caller.send_and_read_reply(make_command()) == b"one"
                path.write_text(new_config_text(first), encoding="utf-8")  # unchanged, so the watch continues
                process.send_signal(signal.SIGHUP)
                await read_log_line(process, "configuration reloaded")
                assert first.server.connection_count == 1
                assert not first.server.ended_connection_count
                path.write_text(new_config_text(second), encoding="utf-8")
                process.send_signal(signal.SIGHUP)
                await wait_until(
                    lambda: len(second.requested_targets) >= 3 and first.server.ended_connection_count
                )
                assert second.requested_targets[:2] == ["/api/targets"] * 2
                assert await caller.send_and_read_reply(make_command()) == b"two"
                # SIGHUP still takes effect during the shutdown: the program switches back to the first agent.
                path.write_text(new_config_text(first), encoding="utf-8")
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                await wait_until(lambda: first.server.connection_count == 2)
                assert await process.wait() == 0

    run_async_test(body())


def test_reload_moves_the_counter_and_closes_the_old_connections(tmp_path: Path) -> None:
    async def body() -> None:
        async with make_scripted_counter(b"ok 1\r\n") as old, make_scripted_counter(b"ok 1\r\n") as new:
            agents = [ScriptedAgent(encode_endpoint_list(1, True)) for _ in range(3)]
            async with agents[0].server, agents[1].server, agents[2].server:

                def peer_addresses(agent: ScriptedAgent, counter: ScriptedServer) -> dict[str, str]:
                    return {
                        "discovery": "{}:{}".format(*agent.server.address),
                        "counter": "{}:{}".format(*counter.address),
                    }

                settings = WIRE_SETTINGS | {"family-info": {"counter": True, "count-wait-s": 5.0}}
                ingress = Ingress(make_config(settings=settings, **peer_addresses(agents[0], old)))
                stop = asyncio.Event()
                task = asyncio.create_task(ingress.run(stop))
                assert ingress.counter is not None
                await wait_until(lambda: len(agents[0].requested_targets) == 2)
                ingress.counter.increment(7, 1.0, 60.0)
                await wait_until(lambda: old.received_commands)
                task_count_before = len(asyncio.all_tasks())
                for agent, counter in ((agents[1], new), (agents[2], new), (agents[2], new)):
                    ingress.reload(make_config(settings=settings, **peer_addresses(agent, counter)))
                await wait_until(
                    lambda: len(agents[2].requested_targets) == 2
                    and old.ended_connection_count
                    and agents[0].server.ended_connection_count
                )
                await wait_until(
                    lambda: agents[1].server.ended_connection_count == agents[1].server.connection_count
                )
                assert agents[2].server.connection_count == 1
                ingress.counter.increment(7, 1.0, 60.0)
                await wait_until(lambda: new.received_commands)
                # Only one watch runs, and the scripted peers have no tasks left for closed connections.
                assert len(asyncio.all_tasks()) <= task_count_before
                stop.set()
                await task

    run_async_test(body())


def test_reload_before_the_watch_starts_fetches_the_complete_list_from_the_new_agent() -> None:
    """The new agent may number versions differently, so changes since a known version may omit backends."""

    async def body() -> None:
        old, new = (
            ScriptedAgent(encode_endpoint_list(1, True)),
            ScriptedAgent(encode_endpoint_list(50, True), encode_endpoint_list(51, False)),
        )
        async with old.server, new.server:
            ingress = Ingress(
                make_config(
                    make_endpoint_entry(("127.0.0.1", 1)), discovery="{}:{}".format(*old.server.address)
                )
            )
            stop = asyncio.Event()
            task = asyncio.create_task(ingress.run(stop))
            await asyncio.sleep(0)  # the startup pause has begun; the ingress does not listen yet
            ingress.reload(make_config(discovery="{}:{}".format(*new.server.address)))
            assert ingress.watch is None  # the watch starts only once, after the startup pause
            await wait_until(lambda: len(new.requested_targets) == 3)
            assert new.requested_targets[0] == "/api/targets"
            assert not old.requested_targets
            assert new.server.connection_count == 1
            stop.set()
            await task

    run_async_test(body())


def test_reload_after_the_shutdown_starts_nothing() -> None:
    async def body() -> None:
        old, new = ScriptedAgent(encode_endpoint_list(1, True)), ScriptedAgent()
        async with old.server, new.server:
            ingress = Ingress(make_config(discovery="{}:{}".format(*old.server.address)))
            stop = asyncio.Event()
            task = asyncio.create_task(ingress.run(stop))
            await wait_until(lambda: len(old.requested_targets) == 2)
            stop.set()
            await wait_until(lambda: ingress.is_closed)
            ingress.reload(make_config(discovery="{}:{}".format(*new.server.address)))
            await task
            assert ingress.watch is not None
            assert ingress.watch.done()
            assert not new.server.connection_count

    run_async_test(body())


@pytest.mark.parametrize("signal_number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_startup_stays_pending_until_its_handler_is_set(
    signal_number: signal.Signals, tmp_path: Path
) -> None:
    """The signal arrives while the program imports its modules; unblocked, it would kill the process."""
    path, stub = tmp_path / CONFIG_FILE_NAME, tmp_path / "uvloop.py"
    text = make_config_text(listen=f"127.0.0.1:{find_free_port()}")
    # This module is found in place of uvloop; it signals the process and then imports the real uvloop.
    stub.write_text(
        f"import os, sys\nos.kill(os.getpid(), {int(signal_number)})\nsys.path.remove({str(tmp_path)!r})\n"
        "del sys.modules['uvloop']\nimport uvloop\n",
        encoding="utf-8",
    )

    async def body() -> None:
        async with running_process(path, text, module_path=str(tmp_path)) as process:
            assert process.stderr is not None
            if signal_number is signal.SIGHUP:
                assert "discovery" in await read_log_line(process, "configuration reloaded")
                await read_log_line(process, "listening")
                process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert b"listening" not in await process.stderr.read()

    run_async_test(body())


def test_endpoint_list_of_the_configuration_is_released_after_startup(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def body() -> None:
        config = make_config(make_endpoint_entry(("127.0.0.1", 1)))
        async with running_ingress(config) as (ingress, _):
            assert ingress.gateway.balancer.ready_backends.keys() == {"s1"}
            assert not ingress.config.known.backends
            assert not ingress.config.known.addresses
            ingress.reload(config)

    run_async_test(body())
    assert "restart required" not in caplog.text  # a reload does not compare the endpoint list


def test_only_changes_that_a_reload_does_not_apply_require_a_restart() -> None:
    current = make_config(make_endpoint_entry(("127.0.0.1", 1)))
    new = make_config(discovery="127.0.0.1:9", seed="1", name="n1", listen="127.0.0.1:7")
    assert find_fields_requiring_restart(current, current) == []
    assert find_fields_requiring_restart(current, new) == ["name", "listen"]
    assert apply_reload(current, new) == replace(current, discovery=("127.0.0.1", 9))


def test_reload_logs_the_fields_that_require_a_restart(caplog: pytest.LogCaptureFixture) -> None:
    async def body() -> None:
        async with running_ingress(make_config()) as (ingress, _):
            ingress.reload(make_config(name="n1", discovery="127.0.0.1:9"))

    with caplog.at_level(logging.INFO):
        run_async_test(body())
    messages = [record.getMessage() for record in caplog.records]
    assert "configuration reloaded discovery=127.0.0.1:9 counter=none" in messages
    assert "restart required fields=name" in messages
