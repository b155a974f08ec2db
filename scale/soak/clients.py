"""The clients of a soak run whose requests are recorded: some wait for their answers, some leave."""

from __future__ import annotations

import asyncio
import random
import socket
import time

import hiredis

from scale.addresses import Address
from scale.soak.books import Books, Ending, RequestRecord, Semantics
from scale.soak.commands import encode_request

LATE_ANSWER_S = 0.5  # after its time an answer only earns nothing; later it is lost
SOCKET_SLACK_S = 0.05
CROSSING_S = 0.2  # a request sent so shortly before its connection ended may have crossed the close
WAITS_S = (0.3, 0.8, 2.0)
PAUSE_S = 0.03  # between two requests of a client, on average
RETRY_CONNECT_S = 0.05
USUAL_CUSTOMER = 1000  # the customers of the usual clients are numbered from here
LEAVING_CUSTOMER = 5000
PIPELINE_SIZES = (1, 5, 100)  # requests that a leaving client sends at once


class ConnectionEndedError(Exception):
    """The connection ended before the answer."""


class Connection:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap the streams of an established connection."""
        self._reader = reader
        self._writer = writer
        self._parser = hiredis.Reader()

    async def exchange(self, command: bytes) -> object:
        """Send a command and return its answer; raise ConnectionEndedError if there is none."""
        try:
            self._writer.write(command)
            while (answer := self._parser.gets()) is False:
                data = await self._reader.read(1 << 16)
                if not data:
                    raise ConnectionEndedError
                self._parser.feed(data)
        except OSError:
            raise ConnectionEndedError from None
        return answer

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class UsualClient:
    """A client that sends one request after another on one connection and waits for each answer."""

    def __init__(self, number: int, address: Address, books: Books, rng: random.Random) -> None:
        """Create a client without a connection."""
        self.may_connect = True
        self._number = number
        self._address = address
        self._books = books
        self._rng = rng
        self._connection: Connection | None = None

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until the event is set."""
        count = 0
        while not stop.is_set():
            count += 1
            request_id = b"usual-%d-%d" % (self._number, count)
            semantics = self._rng.choice(list(Semantics))
            record = RequestRecord(request_id, semantics, self._rng.choice(WAITS_S), time.monotonic())
            if await self._connect():
                self._books.requests[request_id] = record
                record.sent_at = time.monotonic()
                record.ending = await self._send(record)
                record.ended_at = time.monotonic()
            await asyncio.sleep(self._rng.uniform(0.0, 2 * PAUSE_S))
        self._drop_connection()

    async def _connect(self) -> bool:
        if self._connection is None and self.may_connect:
            try:
                self._connection = Connection(*await asyncio.open_connection(*self._address))
            except OSError:
                await asyncio.sleep(RETRY_CONNECT_S)
        return self._connection is not None

    async def _send(self, record: RequestRecord) -> Ending:
        """Send the request, once more on a new connection if the first may have been closed before."""
        for _ in range(2):
            if not await self._connect():
                return Ending.UNSENT
            try:
                answer = await self._exchange(record)
            except TimeoutError:
                self._drop_connection()
                return Ending.LOST
            except ConnectionEndedError:
                self._drop_connection()
                if time.monotonic() - record.sent_at > CROSSING_S:
                    return Ending.LOST
            else:
                return classify(record, answer)
        return Ending.LOST

    async def _exchange(self, record: RequestRecord) -> object:
        assert self._connection is not None
        command = encode_request(record.id, record.semantics, record.wait_s, USUAL_CUSTOMER + self._number)
        exchange = asyncio.ensure_future(self._connection.exchange(command))
        latest = record.sent_at + record.wait_s + LATE_ANSWER_S + SOCKET_SLACK_S
        await asyncio.wait([exchange], timeout=latest - time.monotonic())
        if not exchange.done():  # the answer may be there, and this process be late to read it
            await asyncio.wait([exchange], timeout=self._books.longest_own_lag_s)
        if not exchange.done():
            exchange.cancel()
            raise TimeoutError
        return exchange.result()

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def classify(record: RequestRecord, answer: object) -> Ending:
    """Return how an answer ends the request."""
    if isinstance(answer, list) and answer:
        answer = answer[0]
    if isinstance(answer, bytes):
        return Ending.SERVED if answer == record.id else Ending.FOREIGN
    return Ending.REFUSED if str(answer).startswith("BUSY") else Ending.FAILED


class LeavingClient:
    """A client that sends requests, closes its connection, and may send the first one's id again."""

    def __init__(self, number: int, address: Address, books: Books, rng: random.Random) -> None:
        """Create a client without a connection."""
        self._number = number
        self._address = address
        self._books = books
        self._rng = rng

    async def run(self, stop: asyncio.Event) -> None:
        """Send and leave until the event is set."""
        count = 0
        while not stop.is_set():
            count += 1
            try:
                await self._send_and_leave(count)
            except OSError:
                await asyncio.sleep(RETRY_CONNECT_S)
            await asyncio.sleep(self._rng.uniform(0.05, 0.3))

    async def _send_and_leave(self, count: int) -> None:
        records = [
            RequestRecord(b"leaving-%d-%d-%d" % (self._number, count, n), Semantics.UNSAFE, 1.0, 0.0)
            for n in range(self._rng.choice(PIPELINE_SIZES))
        ]
        sock = await self._send(records)
        await asyncio.sleep(self._rng.choice((0.0, 0.005, 0.05)))
        sock.close()
        left_at = time.monotonic()
        for record in records:
            record.ending, record.left_at, record.ended_at = Ending.LEFT, left_at, left_at
            self._books.requests[record.id] = record
        if self._rng.random() < 0.5:
            await self._send_again(records[0])

    async def _send_again(self, record: RequestRecord) -> None:
        record.left_at = None  # its client is back, so it may run after the first one left, but only once
        sock = await self._send([record])
        await asyncio.sleep(self._rng.uniform(0.0, 0.1))
        sock.close()

    async def _send(self, records: list[RequestRecord]) -> socket.socket:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await asyncio.wait_for(loop.sock_connect(sock, self._address), 1.0)
            for record in records:
                record.sent_at = time.monotonic()
            await asyncio.wait_for(loop.sock_sendall(sock, b"".join(map(self._encode, records))), 1.0)
        except BaseException:
            sock.close()
            raise
        return sock

    def _encode(self, record: RequestRecord) -> bytes:
        return encode_request(record.id, record.semantics, record.wait_s, LEAVING_CUSTOMER + self._number)
