"""The hollow ingresses of one worker process, and the commands that control them."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import Counter as Tally

import ingress.interface as api
from ingress.settings_codec import decode_settings
from scale.experiment.lag import LagSampler
from scale.experiment.messages import HollowReport, Incarnation, StartHollow
from scale.experiment.settings import ingress_settings
from scale.experiment.world import WorkerState
from scale.hollow.ingress import HollowIngress
from scale.hollow.setup import HollowSetup

DRAIN_SLACK_S = 2.0  # time beyond the longest deadline after which unanswered requests count as lost


class Worker:
    """All hollow ingresses of one worker process."""

    def __init__(self, start: StartHollow) -> None:
        self.start_message = start
        self.scenario = start.scenario
        self.state = WorkerState(start.scenario)
        self.known_endpoints = decode_known_endpoints(start.known)
        self.state.apply_backends(self.known_endpoints.backends)
        self.settings_by_ingress = {
            number: decode_settings(ingress_settings(start.scenario, number)) for number in start.numbers
        }
        self.incarnation_counts: Tally[int] = Tally()
        self.ended_incarnations: list[Incarnation] = []
        self.ingresses: dict[int, HollowIngress] = {}
        self.is_under_load = False
        self.lag_sampler = LagSampler(self.state.worker_lag)

    async def start(self) -> None:
        """Create all ingresses; let the event loop run after each, so that it is not blocked for long."""
        for number in self.start_message.numbers:
            self._create_ingress(number)
            await asyncio.sleep(0)

    def _create_ingress(self, number: int) -> None:
        setup = HollowSetup(
            self.state,
            number,
            self.incarnation_counts[number],
            self.start_message.agent,
            self.start_message.counter,
            self.settings_by_ingress[number],
            self.known_endpoints,
        )
        ingress = HollowIngress(setup)
        self.incarnation_counts[number] += 1
        self.ingresses[number] = ingress
        ingress.start()
        if self.is_under_load:
            ingress.start_load()

    def start_load(self) -> None:
        """Begin the load and the sampling of the event loop's lag."""
        self.is_under_load = True
        for ingress in self.ingresses.values():
            ingress.start_load()
        self.lag_sampler.start()

    def set_zone_silent(self, zone: str, silent: bool) -> None:
        """Make the backends of a zone stop answering, or answer again."""
        if silent:
            self.state.silent_zones.add(zone)
        else:
            self.state.silent_zones.discard(zone)

    async def restart(self, numbers: list[int]) -> None:
        """Restart some ingresses with the initial endpoint list of the fleet."""
        for number in numbers:
            ingress = self.ingresses.pop(number)
            await ingress.stop()
            self.ended_incarnations.append(ingress.incarnation)
            self._create_ingress(number)

    async def _wait_for_open_requests(self) -> None:
        """Wait until no request is open, but not longer than the longest deadline plus DRAIN_SLACK_S."""
        longest_deadline_s = max(request_class.deadline_s for request_class in self.scenario.classes)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_deadline_s + DRAIN_SLACK_S):
                for ingress in self.ingresses.values():
                    await ingress.requests.wait_until_drained()

    async def finish(self) -> HollowReport:
        """Stop the load, wait for the answers to open requests, stop all ingresses and return the report."""
        for ingress in self.ingresses.values():
            ingress.stop_load()
        await self._wait_for_open_requests()
        self.lag_sampler.stop()
        for ingress in self.ingresses.values():
            ingress.requests.close_all("lost")
            self.ended_incarnations.append(ingress.incarnation)
        await asyncio.gather(*(ingress.stop() for ingress in self.ingresses.values()))
        state = self.state
        return HollowReport(
            counts=dict(state.counts),
            incarnations=self.ended_incarnations,
            cold_units=state.cold_units,
            request_cpu=state.request_cpu.encode(),
            change_cpu=state.change_cpu.encode(),
            counter_wait=state.counter_wait.encode(),
            worker_lag=state.worker_lag.encode(),
        )


def decode_known_endpoints(body: str) -> api.EndpointUpdate:
    """Decode a complete list in the agent's format into the initial endpoint list of an ingress."""
    response = json.loads(body)
    backends = tuple(
        api.Backend(
            row["id"],
            row["zone"],
            row["kind"],
            row["cell"],
            api.Readiness(row["state"]),
            row["weight"],
            row["started_ms"] / 1000,
        )
        for row in response["servers"]
    )
    return api.EndpointUpdate(api.EndpointUpdateKind.RESTORED, backends, response["version"])
