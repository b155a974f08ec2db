"""A client of the shared counter for tests, and a scripted counter."""

from __future__ import annotations

from ingress.counter.client import CounterClient
from ingress.interface import CounterReply, Outcome
from ingress.network.clock import unix_clock
from tests.support.peers import Address, Reader, ScriptedServer, Writer, wait_until


class CounterClientUnderTest:
    """A client of the shared counter, and the replies that it has reported."""

    def __init__(self, address: Address, timeout_s: float = 5.0) -> None:
        self.replies: list[CounterReply] = []
        self.client = CounterClient(address, timeout_s, unix_clock(), self.replies.append)

    def start_call(self, count_name: int = 7, amount: float = 1.0, lifetime_s: float = 60.0) -> None:
        """Start a call to the counter; do not wait for its reply."""
        self.client.increment(count_name, amount, lifetime_s)

    async def wait_for_reply(self, reply_count: int = 1) -> tuple[int, Outcome, float]:
        """Wait for `reply_count` replies in all; return the name, outcome and total of the last of them."""
        await wait_until(lambda: len(self.replies) >= reply_count)
        last_reply = self.replies[reply_count - 1]
        return last_reply.name, last_reply.outcome, last_reply.total


def make_scripted_counter(*encoded_replies: bytes) -> ScriptedServer:
    """Return a counter that sends one of the replies to each call, in order, and none to further calls."""

    async def serve_connection(_: int, reader: Reader, writer: Writer) -> None:
        for encoded_reply in encoded_replies:
            server.received_commands.append([await reader.readline()])
            writer.write(encoded_reply)
        while line := await reader.readline():
            server.received_commands.append([line])

    server = ScriptedServer(serve_connection)
    return server
