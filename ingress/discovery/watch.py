"""Watch the discovery agent for changes of the endpoint list, with long polls and retries."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from ingress.discovery.backoff import draw_backoff_delay
from ingress.discovery.client import ClientFactory, DiscoveryClient
from ingress.discovery.endpoint_list import EndpointList, decode_endpoint_list
from ingress.discovery.errors import DiscoveryUnavailableError, InvalidEndpointListError
from ingress.discovery.http_client import open_client
from ingress.discovery.timing import POLLED_TIMING, RETRY_WAIT_MS, WatchTiming
from ingress.interface import EndpointUpdateKind
from ingress.network.addresses import Address

log = logging.getLogger(__name__)

# Responses up to this size (about 30,000 backends) are accepted whatever the memory limit is.
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
# A failure is logged only if the number of consecutive failures before it is one of these.
LOGGED_FAILURE_COUNTS = (0, 10, 100, 1000)

UpdateCallback = Callable[[EndpointUpdateKind, EndpointList], None]
SleepFunction = Callable[[float], Awaitable[None]]


class EndpointWatch:
    """A watch that polls the agent while `run` is running and calls `on_update` for each change."""

    def __init__(
        self,
        address: Address,
        on_update: UpdateCallback,
        rng: random.Random,
        version: int | None = None,
        timing: WatchTiming = POLLED_TIMING,
        open_client: ClientFactory = open_client,
        sleep: SleepFunction = asyncio.sleep,
        max_body_bytes: int = 0,
    ) -> None:
        """Make a watch that does not call the agent before `run`.

        `version` is the version of the list that is held at the start; with None, the first call asks for the
        complete list.  Responses may have `max_body_bytes` bytes, or DEFAULT_MAX_BODY_BYTES if that is more.
        """
        self.version = version
        self._address = address
        self._on_update = on_update
        self._rng = rng
        self._timing = timing
        self._open_client = open_client
        self._sleep = sleep
        self._max_body_bytes = max(DEFAULT_MAX_BODY_BYTES, max_body_bytes)

    async def run(self) -> None:
        """Poll until cancelled; retry a failed call after a backoff delay."""
        failure_count = 0
        async with self._open_client(self._address) as client:
            while True:
                try:
                    await self._poll(client, is_retry=failure_count > 0)
                    failure_count = 0
                # Any exception is caught: if an error in decoding or in `on_update` ended the watch, the
                # gateway would receive no further change.  The list that is held stays in use.
                except Exception as error:  # noqa: BLE001
                    self._handle_failure(failure_count, error)
                    await self._sleep(draw_backoff_delay(failure_count, error, self._timing, self._rng))
                    failure_count += 1

    def _handle_failure(self, failure_count: int, error: Exception) -> None:
        if failure_count in LOGGED_FAILURE_COUNTS:
            log.warning("discovery poll failed error=%s reason=%s", type(error).__name__, error)
        # The complete list is the most expensive response for discovery, so the watch asks for it only if the
        # held list may be wrong.
        if not isinstance(error, DiscoveryUnavailableError):
            self.version = None

    async def _poll(self, client: DiscoveryClient, *, is_retry: bool) -> None:
        query, timeout_s = self._choose_next_call(is_retry)
        # The body may be long.  No variable refers to it, so that its memory is freed before the update is
        # handled.
        update = await decode_endpoint_list(await client.fetch(query, timeout_s, self._max_body_bytes))
        # A restarted agent may count its versions from the start again; its changes then don't apply to the
        # held list.
        if not update.is_complete and (self.version is None or update.version < self.version):
            raise InvalidEndpointListError(
                f"changes of version {update.version} do not follow version {self.version}"
            )
        self.version = update.version
        if update.is_complete:
            self._on_update(EndpointUpdateKind.REPLACE, update)
        elif update.backends:
            self._on_update(EndpointUpdateKind.UPDATE, update)

    def _choose_next_call(self, is_retry: bool) -> tuple[str, float]:
        """Return the query of the next call and its timeout in seconds."""
        if self.version is None:
            return "", self._timing.poll_timeout_s
        if is_retry:
            return f"?after={self.version}&wait_ms={RETRY_WAIT_MS}", self._timing.poll_timeout_s
        query = f"?after={self.version}&wait_ms={self._timing.watch_wait_ms}"
        return query, self._timing.watch_timeout_s
