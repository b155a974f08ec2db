"""Tests of the watch: complete lists, changes, agents that restart their versions, and agents that fail."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from ingress.discovery import watch as watch_module
from ingress.discovery.endpoint_list import EndpointList, parse_endpoint_list
from ingress.discovery.timing import POLLED_TIMING, PUSHED_TIMING, RETRY_WAIT_MS, WATCH_WAIT_MS, WatchTiming
from ingress.discovery.watch import EndpointWatch
from ingress.interface import EndpointUpdateKind, Readiness
from tests.support.discovery import (
    LOCAL_ADDRESS,
    MALFORMED_ENTRY_FIELDS,
    REJECTION,
    ScriptedAgent,
    encode_endpoint_list,
    encode_http_response,
    running_watch,
)
from tests.support.peers import (
    Reader,
    ScriptedServer,
    Writer,
    make_endpoint_entry,
    run_async_test,
    wait_until,
)

COMPLETE_LIST_TARGET = "/api/targets"
LONG_POLL_TARGET = f"/api/targets?after=%d&wait_ms={WATCH_WAIT_MS}"
RETRY_TARGET = f"/api/targets?after=%d&wait_ms={RETRY_WAIT_MS}"
SHORT_TIMEOUTS = WatchTiming(watch_grace_s=0.05, poll_timeout_s=0.05, max_backoff_s=1.0, watch_wait_ms=10)


async def collect_updates(
    agent: ScriptedAgent, call_count: int, version: int | None = None, timing: WatchTiming = POLLED_TIMING
) -> list[tuple[EndpointUpdateKind, EndpointList]]:
    """Run a watch until the agent got `call_count` calls, and return the updates that it reported."""
    updates: list[tuple[EndpointUpdateKind, EndpointList]] = []
    async with agent.server:
        endpoint_watch = EndpointWatch(
            agent.server.address,
            lambda kind, update: updates.append((kind, update)),
            Random(1),
            version,
            timing,
        )
        async with running_watch(endpoint_watch):
            await wait_until(lambda: len(agent.requested_targets) >= call_count)
    return updates


def test_complete_list_is_followed_by_changes() -> None:
    async def body() -> None:
        agent = ScriptedAgent(
            encode_endpoint_list(
                41,
                True,
                make_endpoint_entry(LOCAL_ADDRESS, started_ms=0),
                make_endpoint_entry(LOCAL_ADDRESS, "s2", started_ms=1_700_000_000_500),
            ),
            encode_endpoint_list(43, False, make_endpoint_entry(LOCAL_ADDRESS, "s2", "draining")),
            encode_endpoint_list(44, False),
            encode_endpoint_list(50, True, make_endpoint_entry(LOCAL_ADDRESS)),
        )
        updates = await collect_updates(agent, 5)
        assert agent.requested_targets == [
            COMPLETE_LIST_TARGET,
            LONG_POLL_TARGET % 41,
            LONG_POLL_TARGET % 43,
            LONG_POLL_TARGET % 44,
            LONG_POLL_TARGET % 50,
        ]
        assert [kind for kind, _ in updates] == [
            EndpointUpdateKind.REPLACE,
            EndpointUpdateKind.UPDATE,
            EndpointUpdateKind.REPLACE,
        ]
        assert [backend.started for backend in updates[0][1].backends] == [0.0, 1_700_000_000.5]
        assert updates[1][1].backends[0].readiness is Readiness.DRAINING
        assert updates[0][1].addresses["s2"] == LOCAL_ADDRESS

    run_async_test(body())


def test_complete_list_is_fetched_after_the_agent_restarts_its_versions() -> None:
    async def body() -> None:
        agent = ScriptedAgent(
            encode_endpoint_list(41, True, make_endpoint_entry(LOCAL_ADDRESS)),
            encode_endpoint_list(3, False, make_endpoint_entry(LOCAL_ADDRESS, "s9")),
            encode_endpoint_list(3, True, make_endpoint_entry(LOCAL_ADDRESS, "s9")),
        )
        updates = await collect_updates(agent, 4)
        assert agent.requested_targets == [
            COMPLETE_LIST_TARGET,
            LONG_POLL_TARGET % 41,
            COMPLETE_LIST_TARGET,
            LONG_POLL_TARGET % 3,
        ]
        assert [[backend.id for backend in update.backends] for _, update in updates] == [["s1"], ["s9"]]

    run_async_test(body())


@pytest.mark.parametrize(
    "unusable_body", [b"", b"{", b"[]", b'{"version":1}', b'{"version":"x","servers":[]}']
)
def test_failed_call_is_retried_and_the_list_is_kept(unusable_body: bytes) -> None:
    async def body() -> None:
        agent = ScriptedAgent(
            encode_endpoint_list(41, True, make_endpoint_entry(LOCAL_ADDRESS)),
            unusable_body,
            unusable_body,
            encode_endpoint_list(42, True, make_endpoint_entry(LOCAL_ADDRESS)),
        )
        updates = await collect_updates(agent, 5)
        assert agent.requested_targets[:2] == [COMPLETE_LIST_TARGET, LONG_POLL_TARGET % 41]
        assert agent.requested_targets[-1] == LONG_POLL_TARGET % 42
        fetches_complete_list = COMPLETE_LIST_TARGET in agent.requested_targets[2:]
        # Only an invalid response, and not a missing one, suggests that the held list is wrong.
        assert fetches_complete_list is bool(unusable_body)
        assert [update.version for _, update in updates] == [41, 42]

    run_async_test(body())


def test_unanswered_call_times_out_and_is_retried() -> None:
    async def body() -> None:
        agent = ScriptedAgent(
            None,
            encode_endpoint_list(1, True, make_endpoint_entry(LOCAL_ADDRESS)),
            None,
            encode_endpoint_list(2, True, make_endpoint_entry(LOCAL_ADDRESS)),
        )
        updates = await collect_updates(agent, 5, timing=SHORT_TIMEOUTS)
        assert [update.version for _, update in updates] == [1, 2]

    run_async_test(body())


def test_unanswered_long_poll_is_replaced_by_a_call_on_a_new_connection() -> None:
    """A watch whose long poll stays unanswered times out and gets the change with another call."""
    assert POLLED_TIMING.watch_timeout_s < 4.0

    async def body() -> None:
        timing = replace(SHORT_TIMEOUTS, poll_timeout_s=POLLED_TIMING.poll_timeout_s)
        agent = ScriptedAgent(
            encode_endpoint_list(1, True, make_endpoint_entry(LOCAL_ADDRESS)),
            None,
            encode_endpoint_list(2, False, make_endpoint_entry(LOCAL_ADDRESS, "s2")),
        )
        updates = await collect_updates(agent, 4, timing=timing)
        assert [update.version for _, update in updates] == [1, 2]
        assert "after=1&" in agent.requested_targets[2]
        assert agent.server.connection_count == 2

    run_async_test(body())


def test_unanswered_calls_to_a_pushing_agent_time_out_before_the_notification() -> None:
    """Three consecutive calls may stay unanswered before the changes that they miss count as notified."""
    assert 3 * (PUSHED_TIMING.watch_timeout_s + PUSHED_TIMING.max_backoff_s) < 6.0  # long polls
    assert 3 * (PUSHED_TIMING.poll_timeout_s + PUSHED_TIMING.max_backoff_s) < 4.0  # after SIGHUP

    async def body() -> None:
        timing = replace(PUSHED_TIMING, watch_wait_ms=10, watch_grace_s=0.05, poll_timeout_s=0.05)
        agent = ScriptedAgent(
            None,
            None,
            encode_endpoint_list(1, True, make_endpoint_entry(LOCAL_ADDRESS)),
            None,
            None,
            encode_endpoint_list(2, False, make_endpoint_entry(LOCAL_ADDRESS)),
        )
        updates = await asyncio.wait_for(collect_updates(agent, 7, timing=timing), 2.0)
        assert [update.version for _, update in updates] == [1, 2]

    run_async_test(body())


def test_endless_list_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_module, "DEFAULT_MAX_BODY_BYTES", 100_000)

    async def send_endless_list(connection_index: int, reader: Reader, writer: Writer) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            if connection_index:
                writer.write(
                    encode_http_response(encode_endpoint_list(1, True, make_endpoint_entry(LOCAL_ADDRESS)))
                )
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
            while True:
                writer.write(b" " * 65536)
                await writer.drain()

    async def body() -> None:
        updates: list[EndpointList] = []
        async with ScriptedServer(send_endless_list) as peer:
            watch = EndpointWatch(peer.address, lambda _, update: updates.append(update), Random(1))
            async with running_watch(watch):
                await asyncio.wait_for(wait_until(lambda: updates), 2.0)  # before the call times out

    run_async_test(body())


def test_watch_continues_after_an_exception_in_the_callback() -> None:
    async def body() -> None:
        agent = ScriptedAgent(
            encode_endpoint_list(1, True, make_endpoint_entry(LOCAL_ADDRESS)),
            encode_endpoint_list(2, True, make_endpoint_entry(LOCAL_ADDRESS)),
        )

        def raise_error(kind: EndpointUpdateKind, update: EndpointList) -> None:
            raise RuntimeError("a fault")

        async with (
            agent.server,
            running_watch(EndpointWatch(agent.server.address, raise_error, Random(1))) as task,
        ):
            await wait_until(lambda: len(agent.requested_targets) >= 3)
            assert not task.done()

    run_async_test(body())


@pytest.mark.parametrize("change", MALFORMED_ENTRY_FIELDS)
def test_malformed_entry_of_a_parsed_list_is_skipped_and_logged(
    change: dict[str, Any], caplog: pytest.LogCaptureFixture
) -> None:
    entries = [make_endpoint_entry(LOCAL_ADDRESS) | change, make_endpoint_entry(LOCAL_ADDRESS, "s2"), 5]
    with caplog.at_level(logging.WARNING):
        update = parse_endpoint_list({"version": 1, "full": True, "servers": entries})
    assert [backend.id for backend in update.backends] == ["s2"]
    assert len(caplog.records) == 2


def test_rejected_call_is_not_followed_by_a_call_for_the_complete_list() -> None:
    """Forty complete lists per second for a fleet of rejected gateways kept discovery overloaded forever."""

    async def body() -> None:
        agent = ScriptedAgent(
            encode_endpoint_list(41, True, make_endpoint_entry(LOCAL_ADDRESS)),
            REJECTION,
            encode_endpoint_list(42, False, make_endpoint_entry(LOCAL_ADDRESS, "s2")),
        )
        updates = await collect_updates(agent, 4)
        assert agent.requested_targets == [
            COMPLETE_LIST_TARGET,
            LONG_POLL_TARGET % 41,
            RETRY_TARGET % 41,
            LONG_POLL_TARGET % 42,
        ]
        assert [update.version for _, update in updates] == [41, 42]

    run_async_test(body())


def test_watch_with_a_held_list_fetches_changes_only() -> None:
    async def body() -> None:
        agent = ScriptedAgent(encode_endpoint_list(8, False, make_endpoint_entry(LOCAL_ADDRESS, "s2")))
        updates = await collect_updates(agent, 2, version=7)
        assert agent.requested_targets == [LONG_POLL_TARGET % 7, LONG_POLL_TARGET % 8]
        assert [kind for kind, _ in updates] == [EndpointUpdateKind.UPDATE]

    run_async_test(body())
