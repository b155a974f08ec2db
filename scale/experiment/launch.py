"""Start the parts of a run; the run's exit stack ends them, even after a failure."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import structlog

from scale.addresses import Address
from scale.budget import count_listeners
from scale.experiment.child import Child
from scale.experiment.fleet import make_slots
from scale.experiment.messages import Ready, StartBackends, StartClients, StartHollow
from scale.experiment.parts import Parts, real_group_name
from scale.real import RealIngress, RealSetup
from scale.scenario import Scenario
from scale.standins.agent import Agent
from scale.standins.counter import CounterServer
from scale.standins.registry import Registry

START_TIMEOUT_S = 60.0  # time for a child process to be ready
START_TIMEOUT_PER_INGRESS_S = 0.2  # added to START_TIMEOUT_S for each hollow ingress
HOLLOW_GROUP = "hollow"  # name of the agent's listener for all hollow ingresses


class Launcher:
    """Starts the stand-ins, the child processes and the real ingresses of one run."""

    def __init__(
        self, scenario: Scenario, project: Path, real_command: str, exit_stack: AsyncExitStack
    ) -> None:
        self._scenario = scenario
        self._project = project
        self._real_command = real_command
        self._exit_stack = exit_stack
        self._log = structlog.get_logger().bind(scenario=scenario.name)

    async def start(self) -> Parts:
        """Start all parts and wait until they are ready."""
        backends_child, addresses = await self._start_backends()
        slots = make_slots(self._scenario, addresses)
        agent = Agent(Registry(slot.make_entry() for slot in slots))
        self._exit_stack.callback(agent.close)
        counter = self._make_counter()
        known_endpoints = agent.registry.encode_response_body(None).decode()
        counter_address = await counter.listen()
        agent_address = await agent.listen(HOLLOW_GROUP)
        workers = await self._start_workers(agent_address, counter_address, known_endpoints)
        real_ingresses = await self._start_real(agent, counter_address, known_endpoints)
        clients_child = await self._start_clients(real_ingresses)
        worker_index_by_ingress = {
            number: number % len(workers) for number in range(self._scenario.sizes.hollow)
        }
        return Parts(
            agent,
            counter,
            slots,
            workers,
            worker_index_by_ingress,
            real_ingresses,
            backends_child,
            clients_child,
        )

    def _make_counter(self) -> CounterServer:
        model = self._scenario.counter
        ingress_count = self._scenario.sizes.ingresses
        counter = CounterServer(model.parts, model.calls_per_s, model.queue, ingress_count)
        self._exit_stack.callback(counter.close)
        return counter

    async def _spawn(self, name: str, module: str, *arguments: Path) -> Child:
        child = await Child.spawn(name, f"scale.experiment.{module}", *arguments)
        self._exit_stack.push_async_callback(child.close)
        return child

    async def _start_backends(self) -> tuple[Child | None, list[Address]]:
        listener_count = count_listeners(self._scenario)
        if not listener_count:
            return None, []
        child = await self._spawn("backends", "backends_process")
        start = StartBackends(
            listeners=listener_count, model=self._scenario.backend, seed=self._scenario.seed
        )
        await child.send(start)
        return child, (await child.receive(Ready, START_TIMEOUT_S)).addresses

    async def _start_workers(
        self, agent_address: Address, counter_address: Address, known_endpoints: str
    ) -> list[Child]:
        sizes = self._scenario.sizes
        worker_count = min(sizes.workers, sizes.hollow)
        workers: list[Child] = []
        for index in range(worker_count):
            worker = await self._spawn(f"worker {index}", "hollow_process", self._project)
            workers.append(worker)
            numbers = list(range(index, sizes.hollow, worker_count))
            start = StartHollow(
                scenario=self._scenario,
                numbers=numbers,
                agent=agent_address,
                counter=counter_address,
                known=known_endpoints,
            )
            await worker.send(start)
        for worker in workers:
            await worker.receive(Ready, START_TIMEOUT_S + START_TIMEOUT_PER_INGRESS_S * sizes.hollow)
        self._log.info("hollow ingresses are ready", hollow=sizes.hollow, workers=worker_count)
        return workers

    async def _start_real(
        self, agent: Agent, counter_address: Address, known_endpoints: str
    ) -> dict[int, RealIngress]:
        sizes = self._scenario.sizes
        real_ingresses: dict[int, RealIngress] = {}
        for number in range(sizes.hollow, sizes.ingresses):
            setup = RealSetup(
                self._scenario,
                number,
                self._project,
                self._real_command,
                await agent.listen(real_group_name(number)),
                counter_address,
                known_endpoints,
            )
            ingress = RealIngress(setup)
            real_ingresses[number] = ingress
            self._exit_stack.push_async_callback(ingress.close)
        await asyncio.gather(*(ingress.start() for ingress in real_ingresses.values()))
        return real_ingresses

    async def _start_clients(self, real_ingresses: dict[int, RealIngress]) -> Child | None:
        if not real_ingresses:
            return None
        child = await self._spawn("clients", "clients_process")
        addresses = [ingress.address for _, ingress in sorted(real_ingresses.items())]
        start = StartClients(scenario=self._scenario, first_number=min(real_ingresses), addresses=addresses)
        await child.send(start)
        await child.receive(Ready, START_TIMEOUT_S)
        return child
