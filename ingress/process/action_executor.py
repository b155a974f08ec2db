"""Execution of the decision module's actions on the network and the event loop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any

import ingress.interface as api
from ingress.counter.client import CounterClient
from ingress.process.attempt_dispatcher import AttemptDispatcher
from ingress.process.request_service import RequestService

log = logging.getLogger(__name__)


class ActionExecutor:
    """Executes actions in order; an action that fails does not prevent those after it."""

    def __init__(
        self,
        request_service: RequestService,
        attempt_dispatcher: AttemptDispatcher,
        counter: CounterClient | None,
        feed: Callable[[api.Event], None],
    ) -> None:
        """Create an executor; without a counter, `IncrementCounter` is an unsupported action.

        `feed` hands an event to the decision module.
        """
        self.request_service = request_service
        self.attempt_dispatcher = attempt_dispatcher
        self.counter = counter
        self.loop = asyncio.get_running_loop()
        self.feed = feed
        self.logged_unsupported_names: set[str] = set()  # class names of unsupported actions
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.SendAttempt: attempt_dispatcher.send,
            api.CancelAttempt: self._cancel_attempt,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.SetTimer: self._set_timer,
            api.CloseIdleConnections: self._close_idle_connections,
            api.LogMessage: self._log_message,
            api.SubscribeEndpoints: self._ignore,
            api.FetchEndpoints: self._ignore,
        }
        if counter is not None:
            self.handlers[api.IncrementCounter] = self._increment_counter

    def execute(self, actions: Iterable[api.Action]) -> None:
        """Execute the actions in order."""
        for action in list(actions):
            handler = self.handlers.get(type(action), self._log_unsupported)
            try:
                handler(action)
            except Exception:
                # An exception in one action must end neither the process nor the actions after it.
                log.exception("action failed action=%s", type(action).__name__)

    def _cancel_attempt(self, action: api.CancelAttempt) -> None:
        self.attempt_dispatcher.cancel(action.id, action.attempt)

    def _reject(self, action: api.Reject) -> None:
        self.request_service.reject(action.id, action.retry_after)

    def _fail(self, action: api.Fail) -> None:
        self.request_service.fail(action.id)

    def _set_timer(self, action: api.SetTimer) -> None:
        self.loop.call_later(max(0.0, action.delay), self.feed, api.TimerFired(action.token))

    def _increment_counter(self, action: api.IncrementCounter) -> None:
        assert self.counter is not None
        self.counter.increment(action.name, action.add, action.lifetime)

    def _close_idle_connections(self, action: api.CloseIdleConnections) -> None:
        self.attempt_dispatcher.pool.close_idle_connections(action.backend)

    def _log_message(self, action: api.LogMessage) -> None:
        log.info("%s", action.text)

    def _ignore(self, action: api.Action) -> None:
        """Do nothing: the action concerns the watch on the endpoint list, which always runs."""

    def _log_unsupported(self, action: api.Action) -> None:
        action_name = type(action).__name__
        if action_name not in self.logged_unsupported_names:
            self.logged_unsupported_names.add(action_name)
            log.warning("action not supported action=%s", action_name)
