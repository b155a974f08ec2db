"""Graceful shutdown: after SIGTERM, each request gets its answer before SIGKILL may come."""

from __future__ import annotations

import asyncio
import logging

from ingress.downstream.listener import ClientListener
from ingress.interface import Settings
from ingress.process.request_service import RequestService

log = logging.getLogger(__name__)

ACCEPT_AFTER_SIGTERM_S = 0.5  # how long connections are still accepted
SIGKILL_DELAY_S = 0.7  # from SIGTERM to the earliest SIGKILL, in addition to the longest request deadline
MAX_COUNTED_DEADLINE_S = 3.0  # upper limit of the longest request deadline in that sum
LAST_ANSWERS_MARGIN_S = 0.25  # time before the earliest SIGKILL at which requests in flight are failed
FLUSH_TIMEOUT_S = 0.1  # for sending the last replies


async def shut_down_gracefully(
    listener: ClientListener, request_service: RequestService, settings: Settings
) -> None:
    """Keep accepting for a while, drain, and fail the remaining requests before the earliest SIGKILL."""
    loop = asyncio.get_running_loop()
    longest_deadline = min(max(c.deadline for c in settings.classes), MAX_COUNTED_DEADLINE_S)
    drain_deadline = loop.time() + longest_deadline + SIGKILL_DELAY_S - LAST_ANSWERS_MARGIN_S
    await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
    listener.drain()
    await listener.wait_until_drained(drain_deadline)
    request_service.fail_all_and_refuse_new()
    listener.close()
    await listener.wait_until_closed(loop.time() + FLUSH_TIMEOUT_S)
    log.info("shutdown complete")
