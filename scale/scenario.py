"""A scenario of `scale run`: sizes, traffic, limits and timed events, read from TOML."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal, TypeAlias

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from scale.errors import ScaleError

Positive: TypeAlias = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NonNegative: TypeAlias = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Share: TypeAlias = Annotated[float, Field(gt=0, le=1)]


class ScenarioError(ScaleError):
    """The scenario file can't be used; the message names the invalid field."""


class StrictModel(BaseModel):
    """The base class of the parts of a scenario, which rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Sizes(StrictModel):
    """The sizes of the fleet and its rates of requests."""

    hollow: Annotated[int, Field(ge=0, le=10_000)]  # hollow ingresses
    real: Annotated[int, Field(ge=0, le=32)] = 0  # real ingresses
    workers: Annotated[int, Field(ge=1, le=64)] = 2  # processes that run the hollow ingresses
    backends: Annotated[int, Field(ge=1, le=200_000)]
    zones: Annotated[int, Field(ge=1, le=100)] = 3
    tenants: Annotated[int, Field(ge=1)]
    requests_per_s: NonNegative  # at each hollow ingress
    real_requests_per_s: NonNegative = 0.0  # at each real ingress

    @property
    def ingresses(self) -> int:
        """The number of all ingresses of the fleet, hollow and real."""
        return self.hollow + self.real


class BackendModel(StrictModel):
    """The behaviour of all backends."""

    latency_ms: Positive = 20.0  # median of the log-normal distribution
    latency_sigma: NonNegative = 0.5  # standard deviation of the latency's logarithm
    capacity: Positive = 50.0  # units a second that a warm backend serves
    queue_s: Positive = 1.0  # longest wait in the queue; the backend rejects requests beyond that
    cold_s: Positive = 10.0  # time from a start until the backend is warm
    cold_share: Share = 0.2  # share of the capacity that a backend has when it starts
    fall_factor: Positive = 2.5  # load that overloads a cold backend, in multiples of its present capacity
    fall_s: Positive = 2.0  # time over which this load has to last for an overload
    drain_s: Positive = 1.0  # time from the start of a drain until the backend leaves the endpoint list
    keepalive_s: Positive = 30.0  # time after which an idle connection is closed


class ClassModel(StrictModel):
    """A request class; `share` is its weight in the traffic."""

    name: Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]*$")]
    share: Positive = 1.0
    aim_s: Positive  # latency objective
    deadline_s: Positive
    worth: Positive = 1.0  # priority weight
    late_worth: NonNegative = 0.0  # share of the weight of an answer between the objective and the deadline
    # Whether requests are idempotent, idempotent through a key, or not idempotent.
    semantics: Literal["safe", "keyed", "unsafe"] = "safe"
    dedup_window_s: NonNegative = 0.0  # time for which backends recognise an idempotency key


class PlanModel(StrictModel):
    """A plan; `share` is its weight among the tenants, `spread` the number of ingresses a tenant may use."""

    name: Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]*$")]
    share: Positive = 1.0
    rate: Positive  # quota, units a second
    burst: Positive  # units
    spread: Annotated[int, Field(ge=1)] = 1
    excess_cost: NonNegative = 0.5  # cost of a request beyond the quota, as a share of its weight
    ceiling_rate: NonNegative = 0.0  # units a second over all ingresses
    ceiling_burst: NonNegative = 0.0  # units
    ceiling_slack: NonNegative = 0.0  # units by which the ceiling may be exceeded


class CounterModel(StrictModel):
    """The shared counter: names are distributed over `parts`, each with a limited call rate and queue."""

    timeout_ms: Positive = 50.0  # time that an ingress waits for a reply
    parts: Annotated[int, Field(ge=1, le=1024)] = 4
    calls_per_s: Positive = 2000.0  # calls that one part serves a second
    queue: Annotated[int, Field(ge=1)] = 200  # maximum number of calls that wait at one part


class Event(StrictModel):
    """An event that begins `at_s` seconds after the load began."""

    at_s: NonNegative


class Churn(Event):
    """Replacement of a share of the backends, evenly spaced over `over_s` seconds."""

    kind: Literal["churn"]
    share: Share
    over_s: Positive


class ZoneLost(Event):
    """Loss of a zone: its backends stop answering, and discovery removes them after `noticed_after_s`."""

    kind: Literal["zone_lost"]
    zone: Annotated[int, Field(ge=0)]
    seconds: Positive
    noticed_after_s: NonNegative = 3.0


class Restart(Event):
    """Restart of a share of the hollow and of the real ingresses."""

    kind: Literal["restart"]
    share: Share
    over_s: Positive = 1.0


class DiscoveryDown(Event):
    """Outage of the discovery agent: it leaves calls unanswered (`silent`) or answers 503 (`refuse`)."""

    kind: Literal["discovery_down"]
    seconds: Positive
    how: Literal["silent", "refuse"] = "silent"


class Change(Event):
    """Configuration changes at a steady rate, each of one entry of the endpoint list."""

    kind: Literal["change"]
    seconds: Positive
    per_s: Positive


AnyEvent: TypeAlias = Annotated[
    Churn | ZoneLost | Restart | DiscoveryDown | Change, Field(discriminator="kind")
]


class Scenario(StrictModel):
    """A scenario: an idle phase of `idle_s`, then `duration_s` under load, in which the events take place."""

    name: Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]*$")]
    seed: Annotated[int, Field(ge=0)] = 1
    idle_s: Positive = 3.0
    duration_s: Annotated[float, Field(gt=0, le=3600)]
    sizes: Sizes
    backend: BackendModel = BackendModel()
    counter: CounterModel = CounterModel()
    membership: Literal["pushed", "on_request"] = "pushed"  # ingresses watch discovery, or poll it
    classes: Annotated[tuple[ClassModel, ...], Field(min_length=1)]
    plans: Annotated[tuple[PlanModel, ...], Field(min_length=1)]
    events: tuple[AnyEvent, ...] = ()

    @model_validator(mode="after")
    def _check_consistency(self) -> Scenario:
        if self.sizes.ingresses < 1:
            raise ValueError("sizes: at least one ingress is needed, hollow or real")
        if self.sizes.tenants < self.sizes.ingresses:
            raise ValueError("sizes.tenants: at least one for each ingress is needed")
        for plan in self.plans:
            if plan.spread > self.sizes.ingresses:
                raise ValueError(f"plans: the spread of {plan.name} exceeds the number of ingresses")
        for event in self.events:
            if isinstance(event, ZoneLost) and event.zone >= self.sizes.zones:
                raise ValueError(f"events: there is no zone {event.zone}")
            if event.at_s >= self.duration_s:
                raise ValueError(f"events: {event.kind} at {event.at_s:g} s begins after the end")
        return self


def load_scenario(path: Path) -> Scenario:
    """Read a scenario; raise ScenarioError, which names the first invalid field in one line."""
    try:
        source = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ScenarioError(f"{path.name}: {error.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path.name}: not TOML: {error}") from None
    try:
        return Scenario.model_validate(source)
    except ValidationError as error:
        raise ScenarioError(f"{path.name}: {_describe_first_error(error)}") from None


def _describe_first_error(error: ValidationError) -> str:
    first_error = error.errors(include_url=False)[0]
    field = ".".join(str(part) for part in first_error["loc"])
    if first_error["type"] == "extra_forbidden":
        return f"{field}: there is no such field"
    message = first_error["msg"].removeprefix("Value error, ").replace("\n", " ")
    return f"{field}: {message}" if field else message
