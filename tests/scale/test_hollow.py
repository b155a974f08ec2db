"""Tests of hollow ingresses: each request gets one final answer, and list changes are acted on."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

import ingress.interface as api
from scale.experiment.messages import HollowReport, StartHollow
from scale.experiment.worker import Worker, decode_known_endpoints
from scale.hollow import ingress as hollow_ingress
from scale.scenario import Scenario
from scale.standins.agent import Agent
from scale.standins.counter import CounterServer
from scale.standins.registry import Entry, Registry
from tests.support.peers import run_async_test, wait_until

SCENARIO = Scenario.model_validate(
    {
        "name": "one",
        "duration_s": 1.0,
        "sizes": {"hollow": 1, "backends": 2, "zones": 1, "tenants": 10, "requests_per_s": 200.0},
        "backend": {"latency_ms": 1.0},
        "classes": [{"name": "search", "aim_s": 5.0, "deadline_s": 10.0}],
        "plans": [{"name": "basic", "rate": 1000.0, "burst": 1000.0}],
    }
)
ENTRIES = [Entry(name, ("127.0.0.1", 9), "zone-0") for name in ("b0", "b1")]
NEW_ENTRY = Entry("b2", ("127.0.0.1", 9), "zone-0")
DecisionFunction = Callable[[api.Event], list[api.Action]]


def reject_twice(event: api.Event) -> list[api.Action]:
    return [api.Reject(event.id), api.Reject(event.id)] if isinstance(event, api.Request) else []


def decide_nothing(event: api.Event) -> list[api.Action]:
    return []


def send_to_listed_backend(event: api.Event) -> list[api.Action]:
    return [api.SendAttempt(event.id, "b0", 9.0)] if isinstance(event, api.Request) else []


def send_to_unlisted_backend(event: api.Event) -> list[api.Action]:
    if isinstance(event, api.Request):
        return [api.SendAttempt(event.id, "unknown", 1.0)]
    if isinstance(event, api.AttemptEnded) and event.outcome is api.Outcome.CONNECT_FAILED:
        return [api.Fail(event.id)]
    return []


def scenario_with_short_deadline() -> Scenario:
    request_class = SCENARIO.classes[0].model_copy(update={"aim_s": 0.1, "deadline_s": 0.2})
    return SCENARIO.model_copy(update={"classes": (request_class,)})


@asynccontextmanager
async def start_worker(scenario: Scenario) -> AsyncIterator[tuple[Worker, Agent]]:
    """Start a worker with one hollow ingress, and the agent that it watches."""
    agent = Agent(Registry(ENTRIES))
    counter = CounterServer(parts=1, calls_per_s=10_000, max_queued_calls=100)
    start = StartHollow(
        scenario=scenario,
        numbers=[0],
        agent=await agent.listen("hollow"),
        counter=await counter.listen(),
        known=agent.registry.encode_response_body(None).decode(),
    )
    worker = Worker(start)
    await worker.start()
    try:
        yield worker, agent
    finally:
        agent.close()
        counter.close()


def replace_decision_module(decide: DecisionFunction, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make hollow ingresses call `decide` in place of the decision module."""

    class ScriptedGateway:
        def __init__(self, settings: api.Settings, seed: int) -> None:
            pass

        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            return decide(event)

    monkeypatch.setattr(hollow_ingress, "Gateway", ScriptedGateway)


async def run_ingress(scenario: Scenario = SCENARIO) -> tuple[HollowReport, Agent]:
    """Run one hollow ingress for some requests and one list change; return its report and the agent."""
    async with start_worker(scenario) as (worker, agent):
        worker.start_load()
        await wait_until(
            lambda: worker.state.counts["requests"] >= 20
            and any(connection.is_call_pending for connection in agent.connections)
        )
        agent.publish(NEW_ENTRY)
        await wait_until(lambda: worker.ingresses[0].incarnation.acted)
        return await worker.finish(), agent


OUTCOMES: list[tuple[DecisionFunction, str]] = [
    (send_to_listed_backend, "served"),
    (decide_nothing, "forced"),
    (reject_twice, "refused"),
    (send_to_unlisted_backend, "failed"),
]


@pytest.mark.parametrize(("decide", "outcome"), OUTCOMES)
def test_each_request_gets_one_final_answer_from_a_scripted_module(
    decide: DecisionFunction, outcome: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def body() -> None:
        replace_decision_module(decide, monkeypatch)
        report, _ = await run_ingress(
            scenario_with_short_deadline() if decide is decide_nothing else SCENARIO
        )
        counts = report.counts
        assert counts[outcome] == counts["requests"]
        assert counts.get("duplicated", 0) == (counts["requests"] if decide is reject_twice else 0)
        assert counts["lost"] == 0

    run_async_test(body())


def test_each_request_gets_one_final_answer_from_the_decision_module() -> None:
    """The module may reject requests while the two backends have as many in flight as it allows them."""

    async def body() -> None:
        report, _ = await run_ingress()
        counts = report.counts
        assert counts["served"] + counts.get("refused", 0) == counts["requests"]
        assert counts["served"] >= 1
        assert (counts.get("duplicated", 0), counts["lost"]) == (0, 0)

    run_async_test(body())


def test_change_counts_as_acted_on_after_the_module_has_received_it() -> None:
    async def body() -> None:
        report, agent = await run_ingress()
        (incarnation,) = report.incarnations
        (change,) = agent.published_changes
        assert [version for version, _ in incarnation.acted] == [change.version]
        assert incarnation.started <= change.published_at <= incarnation.acted[0][1]

    run_async_test(body())


def test_restarted_ingress_is_a_new_incarnation_that_starts_with_the_known_list() -> None:
    async def body() -> None:
        async with start_worker(SCENARIO) as (worker, agent):
            agent.publish(NEW_ENTRY)
            await wait_until(lambda: worker.ingresses[0].incarnation.acted)
            await worker.restart([0])
            await wait_until(lambda: worker.ingresses[0].incarnation.acted)
            report = await worker.finish()
            assert [incarnation.acted[-1][0] for incarnation in report.incarnations] == [2, 2]
            assert report.incarnations[0].ended is not None
            assert report.incarnations[0].ended <= report.incarnations[1].started
            assert agent.counts["hollow"].complete_lists == 0

    run_async_test(body())


def test_known_list_is_decoded_as_the_agent_encodes_it() -> None:
    known = decode_known_endpoints(Registry(ENTRIES).encode_response_body(None).decode())
    assert known.kind is api.EndpointUpdateKind.RESTORED
    assert known.version == 1
    assert known.backends == tuple(
        api.Backend(entry.id, entry.zone, entry.kind, entry.cell) for entry in ENTRIES
    )
    assert json.loads(Registry(ENTRIES).encode_response_body(None))["full"]
