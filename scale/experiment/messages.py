"""The messages between the runner and its child processes, one JSON object a line."""

from __future__ import annotations

from typing import Annotated, Literal, TypeAlias

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

from scale.addresses import Address
from scale.scenario import BackendModel, Scenario


class Message(BaseModel):
    """The base class of the messages; the field `kind` identifies the class."""

    model_config = ConfigDict(extra="forbid")


class StartBackends(Message):
    """Request to the backends' process to open a number of listeners."""

    kind: Literal["start_backends"] = "start_backends"
    listeners: int  # number to open
    model: BackendModel
    seed: int


class StartClients(Message):
    """Request to the clients' process to create a client for each real ingress.

    The numbers of the real ingresses begin at `first_number`, in the order of `addresses`.
    """

    kind: Literal["start_clients"] = "start_clients"
    scenario: Scenario
    first_number: int
    addresses: list[Address]


class StartHollow(Message):
    """Request to a worker to start the hollow ingresses with the given numbers.

    `known` is the initial endpoint list, as JSON text in the discovery agent's format.
    """

    kind: Literal["start_hollow"] = "start_hollow"
    scenario: Scenario
    numbers: list[int]
    agent: Address
    counter: Address
    known: str


class Load(Message):
    """Request to a worker or to the clients' process to begin the load."""

    kind: Literal["load"] = "load"


class SilentBackends(Message):
    """Request to the backends' process to make listeners stop answering, or answer again."""

    kind: Literal["silent_backends"] = "silent_backends"
    listeners: list[int]  # indices
    silent: bool


class ColdBackend(Message):
    """Notice to the backends' process that the backend of a listener has just been started."""

    kind: Literal["cold_backend"] = "cold_backend"
    listener: int  # index
    started: float  # Unix time


class SilentZone(Message):
    """Notice to a worker that the backends of a zone stop answering, or answer again."""

    kind: Literal["silent_zone"] = "silent_zone"
    zone: str
    silent: bool


class RestartHollow(Message):
    """Request to a worker to restart some of its ingresses."""

    kind: Literal["restart_hollow"] = "restart_hollow"
    numbers: list[int]


class PauseClient(Message):
    """Request to the clients' process to stop sending to an ingress, or to send to it again."""

    kind: Literal["pause_client"] = "pause_client"
    ingress: int
    paused: bool


class ClientRestarting(Message):
    """Notice to the clients' process that an ingress was killed for a restart, or has started again."""

    kind: Literal["client_restarting"] = "client_restarting"
    ingress: int
    restarting: bool


class Finish(Message):
    """Request to a child to end the load, to report and to exit."""

    kind: Literal["finish"] = "finish"


class Ready(Message):
    """Notice of a child that it is ready; the backends' process adds the addresses of its listeners."""

    kind: Literal["ready"] = "ready"
    addresses: list[Address] = []


class BackendsReport(Message):
    """Final report of the backends' process; `cold_units` holds units by listener and counting window."""

    kind: Literal["backends_report"] = "backends_report"
    commands: int
    served: int
    busy: int
    errors: int
    connections: int
    cold_units: dict[int, dict[int, float]]


class ClientsReport(Message):
    """Final report of the clients' process; `latency` and `added` are encoded histograms."""

    kind: Literal["clients_report"] = "clients_report"
    counts: dict[str, int]
    latency: str
    added: str  # latency that the ingress added to the backend's


class Incarnation(Message):
    """One incarnation of an ingress; all times are those of the monotonic clock."""

    number: int  # number of the ingress
    started: float
    ended: float | None = None  # None while it runs
    acted: list[tuple[int, float]] = []  # versions of the endpoint list, each with the time it was acted on


class HollowReport(Message):
    """Final report of a worker; the last four fields are encoded histograms of times."""

    kind: Literal["hollow_report"] = "hollow_report"
    counts: dict[str, int]
    incarnations: list[Incarnation]
    cold_units: dict[str, dict[int, float]]  # units by cold start (ID@UNIX_TIME), then by counting window
    request_cpu: str
    change_cpu: str
    counter_wait: str
    worker_lag: str


class Failed(Message):
    """Notice of a child that it has failed and exits."""

    kind: Literal["failed"] = "failed"
    text: str


ToChild: TypeAlias = Annotated[
    StartBackends
    | StartClients
    | StartHollow
    | Load
    | SilentBackends
    | ColdBackend
    | SilentZone
    | RestartHollow
    | PauseClient
    | ClientRestarting
    | Finish,
    Field(discriminator="kind"),
]
FromChild: TypeAlias = Annotated[
    Ready | BackendsReport | ClientsReport | HollowReport | Failed, Field(discriminator="kind")
]
TO_CHILD: TypeAdapter[ToChild] = TypeAdapter(ToChild)
FROM_CHILD: TypeAdapter[FromChild] = TypeAdapter(FromChild)
