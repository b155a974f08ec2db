"""The settings of a deployment: request classes, plans, and the limits and rules of the fleet.

The values come from the simulator's `Start` message or from the configuration file.  Each type validates its
numbers at construction and raises a ValueError that names the field and the value.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once."""

    IDEMPOTENT = "safe"
    """The request may be executed any number of times."""
    KEYED = "keyed"
    """The request has an idempotency key, by which backends deduplicate it for a limited time."""
    NOT_IDEMPOTENT = "unsafe"
    """The request must be executed at most once."""


class DeduplicationScope(Enum):
    """Which backends recognize, by its idempotency key, a request that another backend has executed."""

    ALL = "all"
    """All backends."""
    ZONE = "zone"
    """The backends of the same zone."""
    CELL = "cell"
    """The backends of the same cell."""


def check_number(name: str, value: float, minimum: float = 0.0) -> None:
    """Raise a ValueError with the field's name unless `value` is finite and at least `minimum`."""
    if not minimum <= value < inf:
        raise ValueError(f"{name}: {value!r} is not a finite number >= {minimum:g}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency objective, its deadline, its priority and its idempotency."""

    name: str
    """Identifies the class in requests."""
    latency_objective: float
    """Seconds within which an answer has its full value."""
    deadline: float
    """Seconds after which the client stops waiting for the answer."""
    priority_weight: float = 1.0
    """Value of an answer within the latency objective, per unit of quota."""
    late_weight_share: float = 0.0
    """Share of the priority weight that an answer between latency objective and deadline has."""
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    """Whether requests may be executed more than once."""
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    """Which backends deduplicate a request; only for classes with an idempotency key."""
    deduplication_window: float = 0.0
    """Seconds for which backends deduplicate a request; only for classes with an idempotency key."""
    latency_objective_stretch: float = 0.0
    """Multiple of a request's own processing time that is added to its latency objective."""
    stream: bool = False
    """Whether answers are streams."""

    def __post_init__(self) -> None:
        """Raise a ValueError if a number is negative or not finite."""
        for field_name in (
            "latency_objective",
            "deadline",
            "priority_weight",
            "late_weight_share",
            "deduplication_window",
            "latency_objective_stretch",
        ):
            check_number(f"class {self.name}: {field_name}", getattr(self, field_name))


@dataclass(frozen=True, slots=True)
class Plan:
    """A customer's plan: quota, concurrency limit, hard ceiling and weights.  A limit of 0 means no limit."""

    name: str
    """Identifies the plan in requests."""
    rate: float = 0.0
    """Quota of each customer over all gateways, in units per second."""
    burst: float = 0.0
    """Units that a customer may use at once: the capacity of the quota's token bucket."""
    concurrency_limit: int = 0
    """Maximum number of attempts of a customer that are in flight at once, over all gateways."""
    weight_factor: float = 1.0
    """Factor for the priority weight of the request class."""
    over_quota_weight_share: float = 0.0
    """Share of its weight that a request has if it is served beyond the quota."""
    over_quota_cost_share: float = 0.0
    """Cost of a request that is forwarded beyond the quota, as a share of its weight."""
    ceiling_rate: float = 0.0
    """Hard ceiling of each customer over all gateways, in units per second."""
    ceiling_burst: float = 0.0
    """Units that a customer may use at once under the hard ceiling."""
    ceiling_slack: float = 0.0
    """Units by which the use may exceed the hard ceiling."""

    def __post_init__(self) -> None:
        """Raise a ValueError if a number is negative or not finite."""
        for field_name in (
            "rate",
            "burst",
            "concurrency_limit",
            "weight_factor",
            "over_quota_weight_share",
            "over_quota_cost_share",
            "ceiling_rate",
            "ceiling_burst",
            "ceiling_slack",
        ):
            check_number(f"plan {self.name}: {field_name}", getattr(self, field_name))


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that a gateway receives when it starts."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    instance_index: int = 0
    """Index of this gateway, from 0."""
    instance_count: int = 1
    """Number of gateways in the fleet."""
    zone: str = ""
    """Name of the zone that this gateway runs in."""
    tick: float = 0.001
    """Seconds between two steps of a gateway, which is the resolution of all times."""
    answer_slack: float = 0.0
    """Seconds after a client's deadline for which a final answer still counts."""
    drain_grace: float = 0.0
    """Seconds after the notification of a drain in which new attempts to the backend are tolerated."""
    slow_start_duration: float = 0.0
    """Seconds from the start of a backend until it has its full capacity."""
    slow_start_initial_share: float = 1.0
    """Share of its full capacity that a backend has when it starts."""
    overload_factor: float = 1.0
    """A backend that is warming up fails if its load exceeds this multiple of its present capacity."""
    overload_window: float = 1.0
    """Seconds over which the load is measured for the comparison with `overload_factor`."""
    max_poll_interval: float = 0.0
    """Seconds after which a change of a polled endpoint list counts as notified."""
    poll_discovery: bool = False
    """Whether the gateway has to poll the endpoint list; otherwise discovery pushes it."""
    max_attempts: int = 1
    """Maximum number of attempts for one request, including the first."""
    hedging: bool = False
    """Whether another attempt (a hedged request) may be sent while one is in flight."""
    cancellation: bool = False
    """Whether attempts can be cancelled."""
    health_checks: bool = False
    """Whether gateways may send health checks to backends."""
    gossip: bool = False
    """Whether gateways can send messages to each other."""
    gossip_receive_rate: float = 0.0
    """Gossip messages per second that a gateway can receive."""
    counter_enabled: bool = False
    """Whether there is a shared counter."""
    counter_timeout: float = 0.0
    """Seconds after which the host gives up a call to the shared counter."""
    usage_meter_period: float = 0.0
    """Seconds over which backends meter a customer's usage; 0: they do not meter it."""
    settles_units: bool = False
    """Whether the units that a request actually uses are known only from its answer."""
    max_request_units: float = 1.0
    """Maximum units of one request."""
    sends_retry_after: bool = True
    """Whether a rejection may contain a Retry-After."""

    def __post_init__(self) -> None:
        """Raise a ValueError if there is no class or no plan, or if a number is out of its range."""
        if not self.classes:
            raise ValueError("classes: at least one request class is required")
        if not self.plans:
            raise ValueError("plans: at least one plan is required")
        for field_name in (
            "instance_index",
            "answer_slack",
            "drain_grace",
            "slow_start_duration",
            "slow_start_initial_share",
            "overload_factor",
            "overload_window",
            "max_poll_interval",
            "gossip_receive_rate",
            "counter_timeout",
            "usage_meter_period",
        ):
            check_number(field_name, getattr(self, field_name))
        for field_name in ("instance_count", "max_attempts", "max_request_units"):
            check_number(field_name, getattr(self, field_name), minimum=1)
