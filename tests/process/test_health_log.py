"""The log of the event loop's lag and of the counted events."""

from __future__ import annotations

import asyncio
import logging
import time

import pytest

import ingress.interface as api
from ingress.downstream.close_reason import CloseReason
from ingress.network.event_counts import EventCounts
from ingress.process import health_log
from ingress.process.health_log import HealthLog
from ingress.process.request_events import AttemptEvent, RequestEvent
from tests.support.ingress import install_scripted_gateway, running_ingress, running_ingress_before
from tests.support.peers import (
    RespClient,
    make_command,
    make_config,
    make_scripted_backend,
    run_async_test,
    wait_until,
)


def test_late_turn_of_the_event_loop_is_logged(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(health_log, "LAG_CHECK_INTERVAL_S", 0.001)

    async def body() -> None:
        monitor = HealthLog(EventCounts(), lambda: "connections=3")
        monitor.start()
        await asyncio.sleep(0)
        time.sleep(health_log.LATE_LOOP_LAG_S + 0.01)  # noqa: ASYNC251  # holds the event loop
        await wait_until(lambda: monitor.max_lag_s > health_log.LATE_LOOP_LAG_S)
        monitor.close()

    run_async_test(body())
    assert any("event loop late" in line and "connections=3" in line for line in caplog.messages)


def test_status_is_logged_only_if_something_happened(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(health_log, "LAG_CHECK_INTERVAL_S", 0.001)
    monkeypatch.setattr(health_log, "STATUS_INTERVAL_S", 0.002)
    caplog.set_level(logging.INFO)

    async def body() -> None:
        counts = EventCounts()
        monitor = HealthLog(counts, lambda: "connections=3")
        monitor.start()
        await asyncio.sleep(0.02)
        assert caplog.messages == []
        counts.add(CloseReason.IDLE)
        await wait_until(lambda: caplog.messages)
        await asyncio.sleep(0.02)
        monitor.close()

    run_async_test(body())
    assert [line for line in caplog.messages if "connection_closed.idle=1" in line] == caplog.messages[:1]


def test_closes_refusals_and_attempts_are_counted_by_reason() -> None:
    async def body() -> None:
        backend = make_scripted_backend()
        async with backend, running_ingress_before(backend) as (ingress, address):
            client = await RespClient.connect(address)
            await client.send_and_read_reply(make_command())
            client.writer.close()
            await wait_until(lambda: ingress.counts.get(CloseReason.CLIENT_LEFT) == 1)
            assert ingress.counts.get(AttemptEvent.OK) == 1
            ingress.request_service.is_refusing_requests = True
            client = await RespClient.connect(address)
            await client.send_and_read_reply(make_command("second"))
            assert ingress.counts.get(RequestEvent.REFUSED_SHUTTING_DOWN) == 1
            client.writer.write(b"*1\r\n$x\r\n")
            await client.read_reply()
            client.writer.close()
            await wait_until(lambda: ingress.counts.get(CloseReason.MALFORMED_INPUT) == 1)

    run_async_test(body())


def test_rejections_and_failures_by_decision_are_counted() -> None:
    async def body() -> None:
        async with running_ingress(make_config()) as (ingress, address):
            client = await RespClient.connect(address)
            install_scripted_gateway(ingress, lambda event: [api.Reject(event.id)])
            await client.send_and_read_reply(make_command("1"))
            install_scripted_gateway(ingress, lambda event: [api.Fail(event.id)])
            await client.send_and_read_reply(make_command("2"))
            assert ingress.counts.get(RequestEvent.REFUSED_BY_DECISION) == 1
            assert ingress.counts.get(RequestEvent.FAILED_BY_DECISION) == 1

    run_async_test(body())
