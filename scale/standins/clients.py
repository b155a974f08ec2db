"""RESP2 clients of the real ingresses: they send requests as a Poisson stream and check each final answer."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

from scale.addresses import Address
from scale.scenario import Scenario
from scale.standins.arrivals import Arrivals
from scale.standins.client_connection import ClientConnection
from scale.standins.client_requests import ClientMeasures, PendingRequest, encode_command
from scale.standins.traffic import DrawnRequest

ANSWER_SLACK_S = 2.0  # time after its deadline at which an unanswered request counts as lost


class IngressClients:
    """Simulates all clients of one real ingress."""

    def __init__(self, scenario: Scenario, ingress_number: int, address: Address, seed: int) -> None:
        self.measures = ClientMeasures()
        # Whether the ingress restarts after its process was killed.  Requests that lose their connection
        # meanwhile count as cut, not as lost.
        self.is_restarting = False
        self._ingress_number = ingress_number
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(seed)
        rate = scenario.sizes.real_requests_per_s
        self._arrivals = Arrivals(scenario, ingress_number, rate, self._rng, self._start_request)
        self._idle_connections: list[ClientConnection] = []
        self._open_requests: dict[bytes, PendingRequest] = {}  # by id
        self._drained = asyncio.Event()  # set when the last open request has ended
        self._connect_tasks: set[asyncio.Task[None]] = set()

    @property
    def has_open_requests(self) -> bool:
        """Whether a request waits for its answer."""
        return bool(self._open_requests)

    def start(self) -> None:
        """Let requests arrive from now on."""
        self._arrivals.start()

    def stop(self) -> None:
        """Let no further request arrive."""
        self._arrivals.stop()

    def set_paused(self, is_paused: bool) -> None:
        """Set whether requests are withheld, as a load balancer does while the ingress restarts."""
        if is_paused:
            self._arrivals.stop()
        elif not self._arrivals.is_running:
            self._arrivals.start()

    async def finish(self, timeout_s: float) -> None:
        """Stop, wait for the answers to the open requests, and count the unanswered requests as lost."""
        self.stop()
        if self._open_requests:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._drained.wait(), timeout_s)
        for request in list(self._open_requests.values()):
            self._count_as_lost(request)
        for connection in self._idle_connections:
            connection.close()

    def _start_request(self, drawn_request: DrawnRequest) -> None:
        counts = self.measures.counts
        counts.requests += 1
        request_id = b"%04x%012x" % (self._ingress_number, counts.requests)
        idempotency_key = b"%016x" % self._rng.getrandbits(64)
        now = time.monotonic()
        command = encode_command(drawn_request, request_id, idempotency_key)
        deadline_s = drawn_request.request_class.deadline_s
        request = PendingRequest(request_id, command, now, now + deadline_s)
        request.timer = self._loop.call_later(deadline_s + ANSWER_SLACK_S, self._count_as_lost, request)
        self._open_requests[request_id] = request
        self._drained.clear()
        self._send(request)

    def _send(self, request: PendingRequest) -> None:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_open:
                connection.send(request)
                return
        self._send_on_new_connection(request)

    def _send_on_new_connection(self, request: PendingRequest) -> None:
        task = self._loop.create_task(self._connect_and_send(request))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _connect_and_send(self, request: PendingRequest) -> None:
        try:
            _, connection = await self._loop.create_connection(lambda: ClientConnection(self), *self._address)
        except OSError:
            self.measures.counts.unreachable += 1
            self._finish_request(request)
            return
        if connection.is_lost or request.is_finished:
            self.measures.counts.unreachable += not request.is_finished
            self._finish_request(request)
            return
        connection.send(request)

    def _finish_request(self, request: PendingRequest) -> None:
        request.is_finished = True
        self._open_requests.pop(request.id, None)
        if request.timer is not None:
            request.timer.cancel()
        if not self._open_requests:
            self._drained.set()

    def _count_as_lost(self, request: PendingRequest) -> None:
        self.measures.counts.lost += 1
        self._finish_request(request)

    def on_answer(self, connection: ClientConnection, request: PendingRequest, answer: object) -> None:
        """Record the answer, unless the request already has an outcome, and keep the connection for reuse."""
        if not request.is_finished:
            self.measures.record_answer(request, answer, time.monotonic())
            self._finish_request(request)
        if connection.is_open:
            self._idle_connections.append(connection)

    def on_unrequested_answer(self) -> None:
        """Count an answer that belongs to no request in flight as a duplicate."""
        self.measures.counts.duplicated += 1

    def on_malformed_answer(self) -> None:
        """Count data from the ingress that is not RESP2."""
        self.measures.counts.wrong += 1

    def on_connection_lost(self, connection: ClientConnection) -> None:
        """Send the request that was in flight on the connection again, or finish it.

        A request on a reused connection is sent a second time, because the ingress may have closed the
        connection as idle before it received the request.
        """
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        request = connection.request
        if request is None or request.is_finished:
            return
        if connection.is_used and not request.is_resent:
            request.is_resent = True
            self._send_on_new_connection(request)
            return
        if self.is_restarting:
            self.measures.counts.cut += 1
            self._finish_request(request)
        else:
            self._count_as_lost(request)


async def ping(address: Address) -> bool:
    """Send PING to an ingress; return whether it answers +PONG."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        return await reader.readline() == b"+PONG\r\n"
    except OSError:
        return False
    finally:
        writer.close()
