"""The job of a measuring child process and its measurement, which are passed as one JSON object each."""

from __future__ import annotations

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

SPREAD = 3  # number of ingresses that serve one tenant


class Sizes(BaseModel):
    """The sizes of a fleet and the rates at one of its ingresses."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    backends: int = Field(ge=1)
    ingresses: int = Field(ge=1)
    tenants: int = Field(ge=1)
    """The tenants of the whole fleet."""
    services: int = Field(ge=1)
    """The request classes in the settings; the decision module knows services in no other form yet."""
    changes_per_s: float = Field(gt=0)
    """The rate of changes of the endpoint list."""
    requests_per_s: float = Field(gt=0)
    """The rate of requests at one ingress."""

    @property
    def spread(self) -> int:
        """The number of ingresses that serve one tenant."""
        return min(SPREAD, self.ingresses)

    @property
    def first_ingress(self) -> int:
        """The number of the first of the `spread` ingresses that serve the simulated tenants."""
        return (self.ingresses - self.spread) // 2

    @property
    def tenants_per_ingress(self) -> int:
        """The number of tenants that one ingress serves."""
        return max(1, round(self.tenants * self.spread / self.ingresses))


class CounterModel(BaseModel):
    """The capacity and the latency of the counter, and when it rejects calls."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    calls_per_request: float = Field(default=0.76, gt=0)
    """The capacity: calls that the counter can serve for each request of the fleet."""
    parts: int = Field(default=3, ge=1)
    """The number of parts over which the names are distributed."""
    latency_s: float = Field(default=0.003, gt=0)
    """The latency of a call without a queue and without jitter."""
    jitter_s: float = Field(default=0.001, gt=0)
    """The mean of an exponentially distributed addition to the latency."""
    max_queue_s: float = Field(default=0.2, gt=0)
    """The longest queue of a part, in seconds of work; calls beyond it are rejected."""


class Pass(Enum):
    """What a child process measures; each pass has its own process, so that no pass affects another."""

    TIMES = "times"
    OPERATIONS = "operations"
    MEMORY = "memory"
    COUNTER = "counter"


class Job(BaseModel):
    """One pass to run at one combination of sizes."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    measuring: Pass
    sizes: Sizes
    counter: CounterModel = CounterModel()
    seed: int = 1
    cpu_budget_s: float = Field(default=4.0, gt=0)
    """The CPU budget of the `times` pass; the limits of its phases are multiples of it."""
    warm_up_requests: int = Field(default=400, ge=1)
    """Requests before the measurement, so that the concurrency limits of used backends grow to the load."""
    operation_samples: int = Field(default=100, ge=1)
    """The maximum number of requests whose function calls are counted."""
    measured_s: float = Field(default=6.0, gt=0)
    """The maximum simulated time for which the `times` pass measures requests."""


class Measurement(BaseModel):
    """The measures of a pass, by their names in results."""

    measures: dict[str, float]
