"""The control traffic of one hollow ingress: its watch on the discovery agent and its counter calls."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import ingress.interface as api
from ingress.counter.client import CounterClient
from ingress.discovery.endpoint_list import EndpointList
from ingress.discovery.timing import watch_timing
from ingress.discovery.watch import EndpointWatch
from ingress.network.clock import Clock
from scale.experiment.messages import Incarnation
from scale.hollow.setup import HollowSetup

CANCEL_TIMEOUT_S = 0.5  # time after which the cancellation of the watch is repeated


class ControlTraffic:
    """Connects to the agent and the counter over loopback; feeds what they send to the decision module."""

    def __init__(
        self,
        setup: HollowSetup,
        incarnation: Incarnation,
        clock: Clock,
        rng: random.Random,
        feed: Callable[[api.Event], None],
    ) -> None:
        self._setup = setup
        self._worker_state = setup.worker_state
        self._incarnation = incarnation
        self._rng = rng
        self._feed = feed
        self._counter = CounterClient(
            setup.counter_address, setup.settings.counter_timeout, clock, self._handle_counter_reply
        )
        self._watch_task: asyncio.Task[None] | None = None

    def start_watch(self) -> None:
        """Start to watch the agent for changes after the version of the known list."""
        watch = EndpointWatch(
            self._setup.agent_address,
            self._apply_update,
            self._rng,
            self._setup.known_list.version,
            watch_timing(is_pushed=not self._setup.settings.poll_discovery),
        )
        self._watch_task = asyncio.get_running_loop().create_task(watch.run())

    def increment_counter(self, action: api.IncrementCounter) -> None:
        """Send a call to the counter."""
        self._worker_state.counts["counter_calls"] += 1
        self._counter.increment(action.name, action.add, action.lifetime)

    async def stop(self) -> None:
        """Close the connections and end the watch."""
        self._counter.close()
        if self._watch_task is not None:
            await self._cancel_watch(self._watch_task)

    async def _cancel_watch(self, watch_task: asyncio.Task[None]) -> None:
        """Cancel the watch, and wait until it has ended.

        The cancellation is repeated: it may be lost if it coincides with a timeout in the HTTP client.
        """
        watch_task.cancel()
        while not (await asyncio.wait([watch_task], timeout=CANCEL_TIMEOUT_S))[0]:
            self._worker_state.counts["watch_cancels_repeated"] += 1
            watch_task.cancel()

    def _handle_counter_reply(self, reply: api.CounterReply) -> None:
        self._worker_state.counts["counter_unanswered"] += reply.outcome is not api.Outcome.OK
        self._feed(reply)

    def _apply_update(self, kind: api.EndpointUpdateKind, update: EndpointList) -> None:
        """Feed an update of the endpoint list to the decision module, then record that it was acted on."""
        self._worker_state.apply_backends(update.backends)
        self._feed(api.EndpointUpdate(kind, tuple(update.backends), update.version))
        self._incarnation.acted.append((update.version, time.monotonic()))
