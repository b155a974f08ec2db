"""Run the events of a scenario at their times."""

from __future__ import annotations

import asyncio
import math
import random
import time
from dataclasses import dataclass, field

from scale.experiment.fleet import Slot
from scale.experiment.messages import (
    ClientRestarting,
    ColdBackend,
    PauseClient,
    RestartHollow,
    SilentBackends,
    SilentZone,
)
from scale.experiment.parts import Parts, RealIncarnation
from scale.experiment.settings import zone_name
from scale.results import ScenarioEvent
from scale.scenario import AnyEvent, Change, Churn, DiscoveryDown, Restart, Scenario, ZoneLost
from scale.standins.agent import AgentMode

CLIENT_LEAVE_DELAY_S = 0.3  # time from SIGTERM until clients send nothing more to the ingress
WEIGHT_STEP = 0.01  # each configuration change switches a weight between 1 and 1 + WEIGHT_STEP


@dataclass(slots=True)
class Timeline:
    """The events of a scenario, and the record of those that took place."""

    scenario: Scenario
    parts: Parts
    started_at: float = 0.0  # start of the load, on the monotonic clock
    events: list[ScenarioEvent] = field(default_factory=list)
    real_incarnations: list[RealIncarnation] = field(default_factory=list)
    cold_start_keys: dict[int, str] = field(default_factory=dict)  # key of the last cold start, by listener

    async def run_events(self) -> None:
        """Run all events at their times, each in its own task, because events may overlap."""
        self.started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for index, event in enumerate(self.scenario.events):
                group.create_task(self._run_event(event, random.Random(f"{self.scenario.seed}-{index}")))

    def record_event(self, kind: str, **values: float) -> None:
        """Add an event that takes place now to the record."""
        elapsed_s = round(time.monotonic() - self.started_at, 3)
        self.events.append(ScenarioEvent(at=elapsed_s, kind=kind, values=values))

    async def _run_event(self, event: AnyEvent, rng: random.Random) -> None:
        await asyncio.sleep(event.at_s)
        match event:
            case Churn():
                await self._churn_backends(event, rng)
            case ZoneLost():
                await self._lose_zone(event)
            case Restart():
                await self._restart_ingresses(event, rng)
            case DiscoveryDown():
                await self._stop_discovery(event)
            case Change():
                await self._change_configuration(event, rng)

    async def _churn_backends(self, event: Churn, rng: random.Random) -> None:
        slots = self.parts.slots
        chosen_slots = rng.sample(slots, max(1, round(event.share * len(slots))))
        self.record_event("churn", backends=len(chosen_slots), seconds=event.over_s)
        async with asyncio.TaskGroup() as group:
            for slot in chosen_slots:
                group.create_task(self._replace_backend(slot))
                await asyncio.sleep(event.over_s / len(chosen_slots))
        self.record_event("churn_done", backends=len(chosen_slots))

    async def _replace_backend(self, slot: Slot) -> None:
        """List a new backend when the old one begins to drain; remove the old one when it has drained."""
        draining = slot.make_entry("draining")
        removed = slot.make_entry("gone")
        slot.replace_backend()
        await self._announce_cold_start(slot)
        self.parts.agent.publish(draining, slot.make_entry())
        await asyncio.sleep(self.scenario.backend.drain_s)
        self.parts.agent.publish(removed)

    async def _announce_cold_start(self, slot: Slot) -> None:
        if self.parts.backends_child is None or slot.listener is None:
            return
        self.cold_start_keys[slot.listener] = slot.cold_start_key
        await self.parts.backends_child.send(
            ColdBackend(listener=slot.listener, started=slot.started_ms / 1000)
        )

    async def _lose_zone(self, event: ZoneLost) -> None:
        zone = zone_name(event.zone)
        slots = [slot for slot in self.parts.slots if slot.zone == zone]
        self.record_event("zone_lost", backends=len(slots), zone=event.zone)
        await self._set_zone_silent(zone, slots, silent=True)
        # Discovery removes the backends only if the outage lasts longer than its delay.
        notice_delay_s = min(event.noticed_after_s, event.seconds)
        await asyncio.sleep(notice_delay_s)
        if notice_delay_s < event.seconds:
            self.parts.agent.publish(*(slot.make_entry("gone") for slot in slots))
            self.record_event("zone_dropped", backends=len(slots))
        await asyncio.sleep(event.seconds - notice_delay_s)
        await self._set_zone_silent(zone, slots, silent=False)
        if notice_delay_s < event.seconds:
            for slot in slots:
                slot.record_restart()
                await self._announce_cold_start(slot)
            self.parts.agent.publish(*(slot.make_entry() for slot in slots))
        self.record_event("zone_back", backends=len(slots))

    async def _set_zone_silent(self, zone: str, slots: list[Slot], *, silent: bool) -> None:
        for worker in self.parts.workers:
            await worker.send(SilentZone(zone=zone, silent=silent))
        if self.parts.backends_child is not None:
            listeners = sorted({slot.listener for slot in slots if slot.listener is not None})
            await self.parts.backends_child.send(SilentBackends(listeners=listeners, silent=silent))

    async def _restart_ingresses(self, event: Restart, rng: random.Random) -> None:
        hollow_numbers = sorted(self.parts.worker_index_by_ingress)
        chosen_hollow = rng.sample(hollow_numbers, math.ceil(event.share * len(hollow_numbers)))
        chosen_real = rng.sample(
            sorted(self.parts.real_ingresses), math.ceil(event.share * len(self.parts.real_ingresses))
        )
        self.record_event("restart", hollow=len(chosen_hollow), real=len(chosen_real))
        async with asyncio.TaskGroup() as group:
            for number in chosen_real:
                group.create_task(self._restart_real(number))
            for number in chosen_hollow:
                worker = self.parts.workers[self.parts.worker_index_by_ingress[number]]
                await worker.send(RestartHollow(numbers=[number]))
                await asyncio.sleep(event.over_s / len(chosen_hollow))
        self.record_event("restart_done", hollow=len(chosen_hollow), real=len(chosen_real))

    async def _restart_real(self, number: int) -> None:
        ingress = self.parts.real_ingresses[number]
        clients = self.parts.clients_child
        incarnation = next(
            running
            for running in self.real_incarnations
            if running.ingress_number == number and running.ended_at is None
        )
        incarnation.ended_at = time.monotonic()
        ingress.terminate()
        await asyncio.sleep(CLIENT_LEAVE_DELAY_S)
        if clients is not None:
            await clients.send(PauseClient(ingress=number, paused=True))
        killed = not await ingress.wait_until_ended()
        if clients is not None and killed:
            await clients.send(ClientRestarting(ingress=number, restarting=True))
        await ingress.start()
        self.real_incarnations.append(RealIncarnation(number, time.monotonic()))
        self.record_event("real_restarted", ingress=number, killed=float(killed))
        if clients is not None:
            await clients.send(ClientRestarting(ingress=number, restarting=False))
            await clients.send(PauseClient(ingress=number, paused=False))

    async def _stop_discovery(self, event: DiscoveryDown) -> None:
        self.record_event("discovery_down", seconds=event.seconds)
        agent = self.parts.agent
        agent.set_mode(AgentMode.SILENT if event.how == "silent" else AgentMode.REFUSING)
        await asyncio.sleep(event.seconds)
        agent.set_mode(AgentMode.UP)
        self.record_event("discovery_back")

    async def _change_configuration(self, event: Change, rng: random.Random) -> None:
        change_count = max(1, round(event.per_s * event.seconds))
        self.record_event("change", changes=change_count, per_s=event.per_s)
        for _ in range(change_count):
            slot = rng.choice(self.parts.slots)
            slot.weight = round(1.0 + WEIGHT_STEP - (slot.weight - 1.0), 2)
            self.parts.agent.publish(slot.make_entry())
            await asyncio.sleep(event.seconds / change_count)
