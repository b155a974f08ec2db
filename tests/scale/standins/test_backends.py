"""Tests of the backend stand-ins: replies, the queue, silence, and the load during a cold start."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from scale.scenario import BackendModel
from scale.standins.backends import BackendServer, parse_reply_value
from tests.support.peers import RespClient, encode_resp_array, make_command, run_async_test

FAST_BACKEND = BackendModel(latency_ms=1.0, latency_sigma=0.0, capacity=1000.0)


def test_backend_answers_a_request_with_its_service_time() -> None:
    async def body() -> None:
        backend = BackendServer(FAST_BACKEND, random.Random(1))
        client = await RespClient.connect(await backend.listen())
        reply = await client.send_and_read_reply(make_command("00000000000000aa"))
        assert parse_reply_value(reply[0])[0] == b"00000000000000aa"
        assert parse_reply_value(reply[0])[1] > 0
        assert reply[1] is None
        assert reply[2] == b"active=0"
        assert await client.send_and_read_reply(encode_resp_array(b"PING")) == b"PONG"
        assert str(await client.send_and_read_reply(encode_resp_array(b"HELLO"))).startswith("ERR")
        assert (backend.counts.commands, backend.counts.served) == (1, 1)
        backend.close()

    run_async_test(body())


def test_backend_rejects_requests_when_its_queue_is_full() -> None:
    async def body() -> None:
        slow_backend = BackendModel(latency_ms=1.0, capacity=1.0, queue_s=0.5)
        backend = BackendServer(slow_backend, random.Random(1))
        client = await RespClient.connect(await backend.listen())
        client.writer.write(make_command("00000000000000aa") + make_command("00000000000000bb"))
        assert isinstance(await client.read_reply(), list)
        assert str(await client.read_reply()) == "BUSY"
        backend.close()

    run_async_test(body())


def test_silent_backend_answers_nothing_and_resets_its_connections_afterwards() -> None:
    async def body() -> None:
        backend = BackendServer(FAST_BACKEND, random.Random(1))
        client = await RespClient.connect(await backend.listen())
        await client.send_and_read_reply(encode_resp_array(b"PING"))
        backend.set_silent(True)
        client.writer.write(make_command())
        backend.set_silent(False)
        with pytest.raises((EOFError, ConnectionError)):
            await client.read_reply()
        assert backend.counts.commands == 0
        backend.close()

    run_async_test(body())


def test_cold_backend_counts_its_load_by_window() -> None:
    async def body() -> None:
        backend = BackendServer(FAST_BACKEND, random.Random(1))
        client = await RespClient.connect(await backend.listen())
        await client.send_and_read_reply(make_command("00000000000000aa"))
        assert not backend.queue.cold_units
        backend.begin_cold_start(time.time())
        await client.send_and_read_reply(make_command("00000000000000bb"))
        assert sum(backend.queue.cold_units.values()) == 1
        assert backend.queue.calculate_capacity_at(backend.queue.started_at) == pytest.approx(200)
        assert backend.queue.calculate_capacity_at(backend.queue.started_at + 10) == pytest.approx(1000)
        backend.close()

    run_async_test(body())


@pytest.mark.parametrize(
    "malformed_command", [encode_resp_array(b"API.READ", b"1"), b"*1\r\n:3\r\n", b"!x\r\n", b"*0\r\n"]
)
def test_malformed_command_is_answered_with_syntax_and_closes_the_connection(
    malformed_command: bytes,
) -> None:
    async def body() -> None:
        backend = BackendServer(FAST_BACKEND, random.Random(1))
        reader, writer = await asyncio.open_connection(*await backend.listen())
        writer.write(malformed_command)
        assert await reader.read() == b"-SYNTAX\r\n"
        backend.close()

    run_async_test(body())
