"""Bad clients stop in the middle of a request; commands of a usual client that were read get no answer."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.support import harness  # noqa: E402

MEMORY_MB = 64
BAD_CLIENTS = 320
USUAL_CLIENTS = 4
BATCHES = 4
COMMANDS_AT_ONCE = 100
WAIT_MS = 4000


class Run:
    """The clients of one run."""

    def __init__(self, record: harness.Record, port: int) -> None:
        self.record = record
        self.port = port
        self.rng = random.Random(25)
        self.served = self.refused = self.failed = self.late = self.unanswered = 0

    async def send_half_a_request(self, number: int) -> None:
        """Send the first part of a request, and wait for what the ingress makes of it."""
        request = harness.encode_request(f"half-{number}", "book-confirm", number, 2500, b"x" * 65_000)
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(harness.HOST, self.port)
            size = self.rng.randrange(1, len(request))
            writer.write(request[:size])
            self.record.note(f"bad client {number}: sent {size} of {len(request)} bytes")
            answer = await reader.read()
            self.record.note(f"bad client {number}: got {answer[:60]!r}, then the end")
            writer.close()

    async def run_usual_client(self, number: int) -> None:
        """Send commands at once, wait for the answers, and do so again."""
        for batch in range(BATCHES):
            first = (number * BATCHES + batch) * COMMANDS_AT_ONCE
            await self._run_batch(first)
            await asyncio.sleep(0.2)

    async def _run_batch(self, first: int) -> None:
        customers = range(first, first + COMMANDS_AT_ONCE)
        reader, writer = await asyncio.open_connection(harness.HOST, self.port)
        writer.write(
            b"".join(
                harness.encode_request(f"request-{customer}", "slot-search", customer, WAIT_MS)
                for customer in customers
            )
        )
        self.record.note(f"usual client: sent request-{customers[0]} to request-{customers[-1]}")
        answers = 0
        try:
            async with asyncio.timeout(WAIT_MS / 1000 + 0.5):
                for customer in customers:
                    self._count(f"request-{customer}", await harness.read_answer(reader))
                    answers += 1
        except TimeoutError:
            self.late += COMMANDS_AT_ONCE - answers
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self.unanswered += COMMANDS_AT_ONCE - answers
            self.record.note(
                f"usual client: request-{customers[answers]} to -{customers[-1]} got no answer: {error!r}"
            )
        writer.close()

    def _count(self, request_id: str, answer: bytes) -> None:
        self.record.note(f"usual client: {request_id} answered {answer[:60]!r}")
        if answer.startswith(b"value-of:%b:" % request_id.encode()):
            self.served += 1
        elif answer.startswith(b"-BUSY"):
            self.refused += 1
        else:
            self.failed += 1


async def play(record: harness.Record, platform: harness.Platform, is_troubled: bool) -> int:
    """Play the case and return its exit code."""
    deployment = await harness.start_deployment(platform, harness.make_settings(), [], memory_mb=MEMORY_MB)
    run = Run(record, deployment.port)
    bad_clients = [
        asyncio.create_task(run.send_half_a_request(number)) for number in range(BAD_CLIENTS * is_troubled)
    ]
    await asyncio.sleep(0.5)
    await asyncio.gather(*(run.run_usual_client(number) for number in range(USUAL_CLIENTS)))
    await asyncio.gather(*bad_clients)
    record.say(
        f"usual clients: served {run.served}, refused {run.refused}, failed {run.failed}, "
        f"late {run.late}, never answered, their connection ended by the ingress {run.unanswered}"
    )
    return harness.BROKEN if run.unanswered else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, play))
