"""Clients of a soak run that share connections, and those that send ids of their open requests."""

from __future__ import annotations

import asyncio
import random
import time

import hiredis

from scale.addresses import Address
from scale.soak.books import Books, Ending, OpenIdAnswer, RequestRecord, Semantics
from scale.soak.clients import LATE_ANSWER_S, SOCKET_SLACK_S, classify
from scale.soak.commands import encode_malformed_request, encode_request

SHARED_CUSTOMER = 7000  # the customers whose requests share a connection are numbered from here
BAD_CUSTOMER = 9000
USUAL_REQUEST_COUNTS = (1, 4)  # on each side of the malformed commands; a third one is the plan's
MALFORMED_COUNTS = (0, 1, 20)
WAIT_S = 2.0
LONGEST_PAUSE_S = 0.2
UNREAD_S = 0.1  # a command that was sent so shortly before may not have been read
BAD_ANSWER_S = 3.0  # within which a bad client is owed an error or a close


class SharedConnectionClient:
    """Sends requests of several customers on one connection, with malformed ones of another among them."""

    def __init__(
        self, number: int, address: Address, books: Books, rng: random.Random, max_requests_at_once: int
    ) -> None:
        """Create a client that has sent nothing."""
        self.may_cross_close = False
        self._request_counts = (*USUAL_REQUEST_COUNTS, max_requests_at_once)
        self._number = number
        self._address = address
        self._books = books
        self._rng = rng

    async def run(self, stop: asyncio.Event) -> None:
        """Send batches, each on a new connection, until the event is set."""
        count = 0
        while not stop.is_set():
            count += 1
            await self._send_batch(b"shared-%d-%d" % (self._number, count))
            await asyncio.sleep(self._rng.uniform(0.0, LONGEST_PAUSE_S))

    async def _send_batch(self, name: bytes) -> None:
        try:
            reader, writer = await asyncio.open_connection(*self._address)
        except OSError:
            await asyncio.sleep(LONGEST_PAUSE_S)
            return
        expected: list[RequestRecord | None] = []  # None for a malformed command
        try:
            expected += self._write_requests(writer, name + b"-a")
            malformed = encode_malformed_request(name, SHARED_CUSTOMER)
            malformed_count = self._rng.choice(MALFORMED_COUNTS)
            writer.write(malformed * malformed_count)
            expected += [None] * malformed_count
            await asyncio.sleep(self._rng.choice((0.0, 0.02)))
            expected += self._write_requests(writer, name + b"-b")
            await self._read_answers(reader, expected)
        finally:
            writer.close()

    def _write_requests(self, writer: asyncio.StreamWriter, name: bytes) -> list[RequestRecord]:
        records = []
        for number in range(self._rng.choice(self._request_counts)):
            semantics = self._rng.choice(list(Semantics))
            record = RequestRecord(b"%b-%d" % (name, number), semantics, WAIT_S, time.monotonic())
            self._books.requests[record.id] = record
            records.append(record)
            writer.write(encode_request(record.id, semantics, WAIT_S, SHARED_CUSTOMER + number % 50))
        return records

    async def _read_answers(self, reader: asyncio.StreamReader, expected: list[RequestRecord | None]) -> None:
        """Read one answer for each command; the requests without one are lost."""
        parser = hiredis.Reader()
        is_ended = False
        latest_s = WAIT_S + LATE_ANSWER_S + SOCKET_SLACK_S + self._books.longest_own_lag_s
        try:
            async with asyncio.timeout(latest_s):
                for record in expected:
                    while (answer := parser.gets()) is False:
                        data = await reader.read(1 << 16)
                        if not data:
                            raise ConnectionResetError
                        parser.feed(data)
                    if record is not None:
                        record.ending, record.ended_at = classify(record, answer), time.monotonic()
        except TimeoutError:
            pass
        except OSError:
            is_ended = True
        # While the ingress shuts down, a request may cross the close of its connection.
        ending = Ending.UNSENT if is_ended and self.may_cross_close else Ending.LOST
        for record in expected:
            if record is not None and record.ending is None:
                record.ending, record.ended_at = ending, time.monotonic()


class OpenIdClient:
    """Sends ids of other clients' open requests, for which it is owed an error or a close."""

    def __init__(self, address: Address, books: Books, rng: random.Random) -> None:
        """Create a client that has sent nothing."""
        self._address = address
        self._books = books
        self._rng = rng

    async def run(self, stop: asyncio.Event) -> None:
        """Send ids until the event is set."""
        while not stop.is_set():
            await asyncio.sleep(self._rng.uniform(0.0, LONGEST_PAUSE_S))
            open_records = [
                record
                for record in list(self._books.requests.values())[-1000:]
                if record.ending is None
                and record.id.startswith(b"shared-")
                and record.sent_at < time.monotonic() - UNREAD_S
            ]
            if open_records:
                await self._send_id(self._rng.choice(open_records))

    async def _send_id(self, record: RequestRecord) -> None:
        try:
            reader, writer = await asyncio.open_connection(*self._address)
        except OSError:
            return
        sent_at, data, is_in_time = time.monotonic(), b"", True
        writer.write(encode_request(record.id, record.semantics, WAIT_S, BAD_CUSTOMER))
        try:
            async with asyncio.timeout(BAD_ANSWER_S + SOCKET_SLACK_S + self._books.longest_own_lag_s):
                data = await reader.read(1 << 16)
        except TimeoutError:
            is_in_time = False
        except OSError:
            data = b""  # the connection was closed
        finally:
            writer.close()
        is_served = data[:1] in (b"$", b"*")
        self._books.open_id_answers.append(OpenIdAnswer(record.id, sent_at, is_served, is_in_time))
