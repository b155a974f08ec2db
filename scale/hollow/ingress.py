"""Hollow ingresses: the decision module with its control traffic, but without client or backend sockets.

Requests come from a seeded generator, and replies of backends are simulated with the latency of the scenario.
The watch on the discovery agent and the calls to the counter use real loopback connections.
"""

from __future__ import annotations

import asyncio
import random
import time

import ingress.interface as api
from ingress.decisions import Gateway
from ingress.network.clock import unix_clock
from ingress.process.deadlines import decision_time
from scale.experiment.messages import Incarnation
from scale.hollow.attempts import SimulatedAttempts
from scale.hollow.control import ControlTraffic
from scale.hollow.module import MeteredModule
from scale.hollow.requests import RequestTable
from scale.hollow.setup import HollowSetup
from scale.standins.arrivals import Arrivals
from scale.standins.traffic import DrawnRequest

DUPLICATE_WINDOW_S = 2.0  # time after a request's deadline in which a second final answer is detected


class HollowIngress:
    """One incarnation of one hollow ingress."""

    def __init__(self, setup: HollowSetup) -> None:
        clock = unix_clock()
        rng = random.Random(setup.seed)
        scenario = setup.worker_state.scenario
        self.incarnation = Incarnation(number=setup.number, started=time.monotonic())
        self.requests = RequestTable(setup.worker_state)
        self._known_list = setup.known_list
        self._loop = asyncio.get_running_loop()
        self._arrivals = Arrivals(
            scenario, setup.number, scenario.sizes.requests_per_s, rng, self._accept_request
        )
        gateway = Gateway(setup.settings, rng.getrandbits(63))
        self._module = MeteredModule(gateway, clock, setup.worker_state, self.requests, self._execute)
        feed = self._module.feed
        self._control = ControlTraffic(setup, self.incarnation, clock, rng, feed)
        self._attempts = SimulatedAttempts(
            setup.worker_state, self.requests, setup.settings.max_attempts, rng, clock, feed
        )

    def start(self) -> None:
        """Give the known list to the decision module and start to watch the agent."""
        self._module.feed(self._known_list)
        self._control.start_watch()

    def start_load(self) -> None:
        """Let requests arrive from now on."""
        self._arrivals.start()

    def stop_load(self) -> None:
        """Let no further request arrive."""
        self._arrivals.stop()

    async def stop(self) -> None:
        """End the incarnation as a crash does: open requests get no answer, and are counted as cut."""
        self._module.stop()
        self.incarnation.ended = time.monotonic()
        self.stop_load()
        self.requests.close_all("cut")
        await self._control.stop()

    def _accept_request(self, drawn_request: DrawnRequest) -> None:
        request_id = self.requests.add(drawn_request.units)
        deadline_s = drawn_request.request_class.deadline_s
        self._loop.call_later(deadline_s, self._enforce_deadline, request_id)
        self._module.feed(_create_request(request_id, drawn_request, decision_time(deadline_s)))

    def _enforce_deadline(self, request_id: str) -> None:
        """Answer a request that the decision module has left open, as a real ingress does at the deadline."""
        if self.requests.get(request_id) is not None:
            self.requests.finish(request_id, "forced")
            self._module.feed(api.RequestCancelled(request_id))
        self._loop.call_later(DUPLICATE_WINDOW_S, self.requests.forget_answered, request_id)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.SendAttempt():
                self._attempts.send(action)
            case api.Reject(id=request_id):
                self.requests.finish(request_id, "refused")
            case api.Fail(id=request_id):
                self.requests.finish(request_id, "failed")
            case api.SetTimer(delay=delay, token=token):
                self._loop.call_later(max(0.0, delay), self._module.feed, api.TimerFired(token))
            case api.IncrementCounter():
                self._control.increment_counter(action)
            case api.CancelAttempt(id=request_id, attempt=number):
                self._attempts.cancel(request_id, number)


def _create_request(request_id: str, drawn_request: DrawnRequest, remaining_time_s: float) -> api.Request:
    return api.Request(
        request_id,
        drawn_request.request_class.name,
        drawn_request.plan.name,
        drawn_request.tenant_key,
        remaining_time_s,
        float(drawn_request.units),
        drawn_request.plan.spread,
        drawn_request.first_ingress,
        is_write=drawn_request.request_class.semantics != "safe",
    )
