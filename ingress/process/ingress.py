"""The ingress, which connects the decision module to clients, backends, discovery and the counter."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Sequence
from dataclasses import replace

import ingress.interface as api
from ingress.counter.client import CounterClient
from ingress.decisions import Gateway
from ingress.discovery.endpoint_list import EndpointList, compute_max_body_bytes
from ingress.discovery.timing import watch_timing
from ingress.discovery.watch import EndpointWatch
from ingress.downstream.listener import ClientListener
from ingress.event_queue import EventQueue
from ingress.network.addresses import Address, AddressBook
from ingress.network.clock import Clock, unix_clock
from ingress.network.event_counts import EventCounts
from ingress.process.action_executor import ActionExecutor
from ingress.process.attempt_dispatcher import AttemptDispatcher
from ingress.process.configuration import Config
from ingress.process.health_log import HealthLog
from ingress.process.in_flight import InFlightRequests
from ingress.process.reload import apply_reload, find_fields_requiring_restart
from ingress.process.request_events import RequestEvent
from ingress.process.request_service import RequestService
from ingress.process.shutdown import shut_down_gracefully
from ingress.upstream.attempt import Attempt

log = logging.getLogger(__name__)

# Even a short pause outlasts throttling, since a throttled process does not run before the throttling ends.
STARTUP_PAUSE_S = 0.01  # before the program listens
EMPTY_ENDPOINT_LIST = EndpointList(0, True, (), AddressBook())


class Ingress:
    """One ingress; its `Gateway` decides which requests to accept and where to send them."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        """Bind the address to listen on, or raise OSError if it is in use; `run` starts to listen."""
        self.config = config
        self.settings = config.settings
        self.clock = clock or unix_clock()
        self.loop = asyncio.get_running_loop()
        self.gateway = Gateway(self.settings, config.seed, config.max_customers)
        self.rng = random.Random(config.seed)  # for the backoff of discovery
        self.feed = EventQueue(self._handle_event).feed  # hands an event to the decision module
        self.is_closed = False
        # List version from which the watch continues; None if it must fetch the complete list first.
        self.restored_version = config.known.version if config.known.backends else None
        self.watch: asyncio.Task[None] | None = None
        self.counts = EventCounts()
        self.requests = InFlightRequests(config.max_in_flight, config.max_buffered_bytes)
        self.request_service = RequestService(
            self.requests, self.clock, self.feed, self._cancel_if_unsent, self.counts
        )
        self.attempt_dispatcher = AttemptDispatcher(
            config, self.clock, self.requests, self.request_service.answer, self.feed, self.counts
        )
        self.pool = self.attempt_dispatcher.pool
        self.counter = self._create_counter_client(config.counter)
        self.action_executor = ActionExecutor(
            self.request_service, self.attempt_dispatcher, self.counter, self.feed
        )
        self.listener = ClientListener(
            config.listen,
            config.client_sockets,
            config.max_buffered_bytes,
            self.settings,
            self.request_service,
            self.clock,
            self.counts,
        )
        self.health_log = HealthLog(self.counts, self._describe_load)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then shut down gracefully."""
        self._restore_endpoints()
        # The start uses more CPU time than the process is granted per second, so the process may be throttled
        # now.  If it listened without this pause, it would receive requests and list changes before it gets
        # CPU time for them.
        await asyncio.sleep(STARTUP_PAUSE_S)
        if stop.is_set():
            # SIGTERM arrived during the start.  SIGKILL may follow at any time, so no connection is accepted.
            self.listener.close()
            self._close()
            return
        self.listener.open()
        self.health_log.start()
        # The watch asks only for changes since the restored list, since sending complete lists to many
        # ingresses that start together would overload discovery.
        self._start_watch(self.restored_version)
        log.info("listening address=%s name=%s", _address_text(self.config.listen), self.config.name)
        await stop.wait()
        await shut_down_gracefully(self.listener, self.request_service, self.settings)
        self._close()
        await self._stop_watch()

    def reload(self, config: Config) -> None:
        """Apply changed addresses of discovery and the counter; log other changes, which need a restart."""
        if self.is_closed:
            return
        old = self.config
        self.config = apply_reload(old, config)
        if config.discovery != old.discovery:
            # Another agent may number versions differently, so changes since the known version may be wrong.
            self.restored_version = None
            if self.watch is not None:
                self._start_watch()
        if self.counter is not None and config.counter is not None and config.counter != old.counter:
            self.counter.change_address(config.counter)
        log.info(
            "configuration reloaded discovery=%s counter=%s",
            _address_text(config.discovery),
            _address_text(config.counter),
        )
        changed_fields = find_fields_requiring_restart(old, config)
        if changed_fields:
            log.warning("restart required fields=%s", ",".join(changed_fields))

    def on_endpoints_updated(self, kind: api.EndpointUpdateKind, endpoint_list: EndpointList) -> None:
        """Pass a new or changed endpoint list to the connection pool and the decision module."""
        is_complete_list = kind is not api.EndpointUpdateKind.UPDATE
        backends = endpoint_list.backends
        superseded_ids = self.pool.update_endpoints(is_complete_list, backends, endpoint_list.addresses)
        if superseded_ids:
            log.warning("backends lost their addresses ids=%s", ",".join(sorted(superseded_ids)))
            backends = tuple(backend for backend in backends if backend.id not in superseded_ids)
        self.feed(api.EndpointUpdate(kind, backends, endpoint_list.version))
        if superseded_ids and not is_complete_list:  # from a complete list they are absent
            removed = tuple(
                api.Backend(backend_id, readiness=api.Readiness.REMOVED)
                for backend_id in sorted(superseded_ids)
            )
            self.feed(api.EndpointUpdate(kind, removed, endpoint_list.version))

    def _create_counter_client(self, address: Address | None) -> CounterClient | None:
        if address is None:
            return None
        return CounterClient(address, self.settings.counter_timeout, self.clock, self.feed)

    def _restore_endpoints(self) -> None:
        """Apply the endpoint list of the configuration, then release its memory, which may be large."""
        known = self.config.known
        self.config = replace(self.config, known=EMPTY_ENDPOINT_LIST)
        self.on_endpoints_updated(api.EndpointUpdateKind.RESTORED, known)

    def _start_watch(self, version: int | None = None) -> None:
        """Replace the watch on discovery; without a version, the new one first fetches the complete list."""
        if self.watch is not None:
            self.watch.cancel()
        watch = EndpointWatch(
            self.config.discovery,
            self.on_endpoints_updated,
            self.rng,
            version,
            watch_timing(is_pushed=not self.settings.poll_discovery),
            max_body_bytes=compute_max_body_bytes(self.config.max_buffered_bytes),
        )
        self.watch = self.loop.create_task(watch.run())

    async def _stop_watch(self) -> None:
        watch = self.watch
        if watch is not None:
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch

    def _close(self) -> None:
        self.is_closed = True
        self.health_log.close()
        self.pool.close()
        if self.counter is not None:
            self.counter.close()

    def _cancel_if_unsent(self, attempt: Attempt) -> None:
        # This method exists because the request service, which calls it, is created before the pool.
        self.pool.cancel_attempt_if_unsent(attempt)

    def _describe_load(self) -> str:
        return (
            f"connections={len(self.listener.connections)} in_flight={len(self.requests)}"
            f" input_bytes={self.listener.input_budget.used_bytes}"
        )

    # Events for the decision module

    def _handle_event(self, event: api.Event) -> None:
        """Pass an event to the decision module, execute its actions, and remove a finished request."""
        has_failed = False
        actions: Sequence[api.Action]
        try:
            actions = self.gateway.handle(self.clock(), event)
        except Exception:
            # An exception in the decision module must end neither the process nor the other requests.  The
            # actions from before the exception, such as the next timer, are executed.  The request that the
            # event belongs to, if any, fails.
            log.exception("decision module failed event=%s", type(event).__name__)
            actions = self.gateway.actions
            has_failed = True
        self.action_executor.execute(actions)
        if isinstance(event, api.RequestCancelled) or (
            isinstance(event, api.AttemptEnded) and event.finished
        ):
            self.requests.remove(event.id)
        elif has_failed and isinstance(event, api.Request | api.AttemptEnded):
            request = self.requests.get(event.id)
            if request is not None:
                self.request_service.fail_and_cancel(request, RequestEvent.FAILED_BY_FAULT)


def _address_text(address: Address | None) -> str:
    return "none" if address is None else f"{address[0]}:{address[1]}"
