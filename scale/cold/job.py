"""The job of one simulation of cold starts."""

from __future__ import annotations

from typing import Literal, TypeAlias

from pydantic import BaseModel, ConfigDict, Field

# "replaced": new backends with new ids take the place of old ones; "restarted": backends keep their ids.
ColdStartKind: TypeAlias = Literal["replaced", "restarted"]


class ColdStartJob(BaseModel):
    """A fleet in which some backends start cold.

    Times are in simulated seconds, rates and capacities in requests per second.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    ingresses: int = Field(ge=1)
    backends: int = Field(ge=2)
    load: float = Field(gt=0)
    """The rate of requests, as a share of the capacity of all backends when they are warm."""
    capacity: float = Field(default=10.0, gt=0)
    """The capacity of one warm backend."""
    replaced_share: float = Field(default=0.25, gt=0, lt=1)
    """The share of the backends that start cold."""
    start_kind: ColdStartKind = "replaced"
    longest_notice_s: float = Field(default=0.0, ge=0)
    """The longest delay until an ingress receives the change of the endpoint list.

    The delay of each ingress is drawn uniformly between 0 and this time.
    """
    warm_up_s: float = Field(default=8.0, gt=0)
    """The simulated time before the cold starts."""
    cold_s: float = Field(default=12.0, gt=0)
    """The time that a backend takes to become warm."""
    cold_share: float = Field(default=0.16, gt=0, le=1)
    """The share of its capacity that a backend has when it starts."""
    fall_factor: float = Field(default=2.5, gt=0)
    """Requests at this multiple of its present capacity, over `fall_s`, overload a backend."""
    fall_s: float = Field(default=2.0, gt=0)
    """The length of the window in which an overload is counted."""
    seed: int = 1

    @property
    def requests_per_s(self) -> float:
        """The rate of requests at one ingress."""
        return self.load * self.capacity * self.backends / self.ingresses

    def calculate_capacity_share(self, age: float) -> float:
        """Return the share of its capacity that a backend has `age` seconds after its cold start."""
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.cold_s)
