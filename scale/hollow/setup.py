"""The parameters with which one incarnation of a hollow ingress is started."""

from __future__ import annotations

from dataclasses import dataclass

import ingress.interface as api
from scale.addresses import Address
from scale.experiment.world import WorkerState

# Differences between the seeds of consecutive ingresses, and of consecutive incarnations of one ingress.
SEED_STEP = 104_729
INCARNATION_SEED_STEP = 15_485_863


@dataclass(frozen=True, slots=True)
class HollowSetup:
    """The parameters of one incarnation of a hollow ingress."""

    worker_state: WorkerState
    """The state that all hollow ingresses of the process share."""
    number: int
    """The number of the ingress."""
    earlier_incarnation_count: int
    """The number of incarnations of this ingress before this one."""
    agent_address: Address
    """The address of the discovery agent."""
    counter_address: Address
    settings: api.Settings
    known_list: api.EndpointUpdate
    """The endpoint list that it starts with."""

    @property
    def seed(self) -> int:
        """The seed of all random draws of the incarnation."""
        seed = self.worker_state.scenario.seed
        return seed + SEED_STEP * self.number + INCARNATION_SEED_STEP * self.earlier_incarnation_count
