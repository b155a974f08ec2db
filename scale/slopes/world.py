"""Creates the settings, the gateway, its stand-ins, the endpoint list and the requests of a pass."""

from __future__ import annotations

from ingress.decisions import Gateway
from ingress.interface import EndpointUpdate, EndpointUpdateKind
from scale.slopes.counter import CounterStandIn
from scale.slopes.job import Job
from scale.slopes.listing import BackendList, find_decoder
from scale.slopes.meters import Meter
from scale.slopes.settings import COUNTER_TIMEOUT_S, build_settings
from scale.slopes.simulation import Simulation
from scale.slopes.tenants import build_demand
from scale.slopes.traffic import generate_arrivals

START_TIME_S = 1_000_000.0  # first time of the simulated clock


class World:
    """The settings, tenants and backends of one gateway, created from the sizes and the seed of a job.

    Siblings are the gateways that serve the same tenants; each has its own requests.
    """

    def __init__(self, job: Job, backends: int, sibling: int = 0) -> None:
        self.seed = job.seed + sibling
        self.job = job
        self.demand = build_demand(job.sizes, job.seed)
        self.settings = build_settings(job.sizes, self.demand, sibling)
        self.backend_list = BackendList(backends, job.seed)
        self.decode = find_decoder()

    def create_gateway(self) -> Gateway:
        """Return a new gateway, which has no endpoint list yet."""
        return Gateway(self.settings, self.seed)

    def create_counter(self, caller_count: int = 1) -> CounterStandIn:
        """Return a counter that serves `caller_count` gateways."""
        return CounterStandIn(
            self.job.counter, self.job.sizes, caller_count, COUNTER_TIMEOUT_S, self.job.seed
        )

    def create_simulation(self, meter: Meter, counter: CounterStandIn | None = None) -> Simulation:
        """Return a simulation without any scheduled events."""
        return Simulation(meter, counter or self.create_counter(), START_TIME_S)

    def start_requests(self, simulation: Simulation) -> None:
        """Let the requests of clients arrive from now on."""
        simulation.start_arrivals(
            generate_arrivals(self.job.sizes, self.settings, self.demand, simulation.now, self.seed)
        )

    def build_complete_update(self, kind: EndpointUpdateKind) -> EndpointUpdate:
        """Return the event that delivers the complete list as it is now."""
        return EndpointUpdate(
            kind, self.decode(self.backend_list.encode_complete_list()), self.backend_list.version
        )

    def build_next_change(self, now: float) -> EndpointUpdate:
        """Make the next change of the list, and return the event that delivers it."""
        return EndpointUpdate(
            EndpointUpdateKind.UPDATE,
            self.decode(self.backend_list.encode_next_change(now)),
            self.backend_list.version,
        )
