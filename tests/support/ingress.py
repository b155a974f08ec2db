"""A complete ingress in the event loop of the test, on real sockets, and a scripted decision module."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeAlias

import ingress.interface as api
from ingress.downstream.connection import ClientConnection
from ingress.process.configuration import Config
from ingress.process.ingress import Ingress
from tests.support.peers import Address, ScriptedServer, make_config, make_endpoint_entry, wait_until

ActionChooser: TypeAlias = Callable[[Any], list[api.Action]]


@asynccontextmanager
async def running_ingress(config: Config) -> AsyncIterator[tuple[Ingress, Any]]:
    """Run an ingress until the end of the context; yield it and the address that it listens on."""
    ingress = Ingress(config)
    task = asyncio.create_task(ingress.run(asyncio.Event()))
    await wait_until(lambda: ingress.watch is not None)
    try:
        yield ingress, ingress.listener.sock.getsockname()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        ingress.listener.close()
        ingress.pool.close()


@asynccontextmanager
async def running_ingress_before(backend: ScriptedServer) -> AsyncIterator[tuple[Ingress, Any]]:
    """Run an ingress that sends each request once, to `backend`; yield it and the address it listens on."""
    async with running_ingress(make_config(make_endpoint_entry(backend.address))) as (ingress, address):
        install_scripted_gateway(ingress, send_to_s1)
        yield ingress, address


@asynccontextmanager
async def running_ingress_until_stopped(
    config: Config,
) -> AsyncIterator[tuple[Ingress, Address, asyncio.Event]]:
    """Run an ingress; yield it, its address, and the event that stops it.

    The context ends once the graceful shutdown is complete, so the test must set the event.
    """
    ingress = Ingress(config)
    stop = asyncio.Event()
    task = asyncio.create_task(ingress.run(stop))
    await wait_until(lambda: ingress.watch is not None)
    yield ingress, ingress.listener.sock.getsockname(), stop
    await task


async def wait_for_client_connections(ingress: Ingress, count: int) -> list[ClientConnection]:
    """Wait until the ingress has `count` open client connections; return them."""
    await wait_until(
        lambda: len([connection for connection in ingress.listener.connections if connection.transport])
        == count
    )
    return list(ingress.listener.connections)


class ScriptedGateway:
    """A decision module whose actions a function of the test chooses; it records the events."""

    def __init__(self, choose_actions: ActionChooser | None) -> None:
        self.choose_actions = choose_actions
        self.events: list[api.Event] = []
        self.actions: list[api.Action] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Record the event, and return the actions that `choose_actions` chooses."""
        self.events.append(event)
        self.actions = []
        self.actions += self.choose_actions(event) if self.choose_actions else []
        return self.actions

    def get_events_of_type(self, event_type: type) -> list[Any]:
        """Return the events of one type, in the order of their arrival."""
        return [event for event in self.events if isinstance(event, event_type)]


def install_scripted_gateway(ingress: Ingress, choose_actions: ActionChooser | None) -> ScriptedGateway:
    """Replace the decision module of the ingress by a scripted one; return the new one."""
    gateway = ScriptedGateway(choose_actions)
    ingress.gateway = gateway  # type: ignore[assignment]
    return gateway


def send_to_s1(event: api.Event) -> list[api.Action]:
    """Return an attempt on backend s1 for each request, and no actions for other events."""
    return [api.SendAttempt(event.id, "s1")] if isinstance(event, api.Request) else []
