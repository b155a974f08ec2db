"""Tests of the stand-in of the discovery agent: long polls, complete lists, and an agent that is down."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from scale.standins.agent import Agent, AgentMode
from scale.standins.registry import Entry, Registry
from tests.support.peers import run_async_test, wait_until

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def make_entry(name: str, **changes: Any) -> Entry:
    return Entry(**({"id": name, "address": ("127.0.0.1", 1), "zone": "a"} | changes))


async def call_agent(stream: Stream, query: str = "") -> Any:
    """Send a call, and return its response as read_response does."""
    stream[1].write(f"GET /api/targets{query} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    return await read_response(stream)


async def read_response(stream: Stream) -> Any:
    """Read a response, and return its decoded body, or its status code if that is not 200."""
    head = (await stream[0].readuntil(b"\r\n\r\n")).decode()
    length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
    body = await stream[0].readexactly(length)
    return json.loads(body) if " 200 " in head else int(head.split(" ")[1])


def test_long_poll_gets_the_changes_after_its_version() -> None:
    async def body() -> None:
        agent = Agent(Registry([make_entry("b1"), make_entry("b2")]))
        stream = await asyncio.open_connection(*await agent.listen("all"))
        complete_list = await call_agent(stream)
        assert complete_list["full"]
        assert [row["id"] for row in complete_list["servers"]] == ["b1", "b2"]
        call = asyncio.create_task(call_agent(stream, f"?after={complete_list['version']}&wait_ms=60000"))
        await wait_until(lambda: any(connection.is_call_pending for connection in agent.connections))
        agent.publish(make_entry("b2", state="draining"))
        update = await call
        assert not update["full"]
        assert [(row["id"], row["state"]) for row in update["servers"]] == [("b2", "draining")]
        agent.publish(make_entry("b2", state="gone"))
        agent.publish(make_entry("b3"), make_entry("b1", weight=2.0))
        later_update = await call_agent(stream, f"?after={update['version']}&wait_ms=60000")
        assert {row["id"]: row["state"] for row in later_update["servers"]} == {
            "b1": "ready",
            "b2": "gone",
            "b3": "ready",
        }
        assert {row["id"] for row in (await call_agent(stream))["servers"]} == {"b1", "b3"}
        counts = agent.counts["all"]
        assert (counts.calls, counts.complete_lists) == (4, 2)
        agent.close()

    run_async_test(body())


def test_long_poll_is_answered_after_its_wait_without_a_change() -> None:
    async def body() -> None:
        agent = Agent(Registry([make_entry("b1")]))
        stream = await asyncio.open_connection(*await agent.listen("all"))
        assert (await call_agent(stream, "?after=1&wait_ms=1"))["servers"] == []
        agent.close()

    run_async_test(body())


@pytest.mark.parametrize("known_version", [-1, 7])
def test_call_with_a_version_outside_the_kept_changes_gets_the_complete_list(known_version: int) -> None:
    registry = Registry([make_entry("b1")])
    registry.publish([make_entry("b2")])
    assert json.loads(registry.encode_response_body(known_version))["full"]


def test_calls_with_the_same_version_share_one_encoded_response() -> None:
    registry = Registry([make_entry("b1")])
    registry.publish([make_entry("b2")])
    assert registry.encode_response_body(1) is registry.encode_response_body(1)
    old_body = registry.encode_response_body(1)
    registry.publish([make_entry("b3")])
    assert registry.encode_response_body(1) != old_body


def test_agent_that_is_down_is_silent_or_refuses_calls() -> None:
    async def body() -> None:
        agent = Agent(Registry([make_entry("b1")]))
        stream = await asyncio.open_connection(*await agent.listen("all"))
        agent.set_mode(AgentMode.REFUSING)
        assert await call_agent(stream) == 503
        agent.set_mode(AgentMode.SILENT)
        call = asyncio.create_task(call_agent(stream))
        await wait_until(lambda: any(connection.is_call_pending for connection in agent.connections))
        agent.publish(make_entry("b2"))
        assert not call.done()
        agent.set_mode(AgentMode.UP)
        assert {row["id"] for row in (await call)["servers"]} == {"b1", "b2"}
        agent.close()

    run_async_test(body())


def test_moved_listener_resets_its_connections_and_serves_at_its_new_address() -> None:
    async def body() -> None:
        agent = Agent(Registry([make_entry("b1")]))
        stream = await asyncio.open_connection(*await agent.listen("all"))
        await call_agent(stream)
        address = await agent.move_listener("all")
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await call_agent(stream)
        assert (await call_agent(await asyncio.open_connection(*address)))["full"]
        agent.close()

    run_async_test(body())


@pytest.mark.parametrize(
    "line",
    [b"POST /api/targets HTTP/1.1", b"GET /else HTTP/1.1", b"\xff\xfe", b"GET /api/targets?after=x HTTP/1.1"],
)
def test_invalid_call_is_answered_with_400_and_closes_the_connection(line: bytes) -> None:
    async def body() -> None:
        agent = Agent(Registry([make_entry("b1")]))
        reader, writer = await asyncio.open_connection(*await agent.listen("all"))
        writer.write(line + b"\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 400 ")
        agent.close()

    run_async_test(body())
