"""Backends send some answers twice; a client is served with the value of another customer."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.support import harness  # noqa: E402

CLIENTS = 14
REQUESTS_PER_S = 140
DURATION_S = 30.0
SECOND_SHARE = 0.05
SECOND_AFTER_MS = 2.0
LATEST_SECOND_MS = 6.0  # the machine may delay the stand-in; a later one would not be "some milliseconds"
WAIT_MS = 4000


class Run:
    """The clients of one run."""

    def __init__(self, record: harness.Record, port: int) -> None:
        self.record = record
        self.port = port
        self.rng = random.Random(25)
        self.sent_count = 0
        self.served = self.refused = self.failed = 0
        self.foreign: list[tuple[str, str]] = []  # requests, each with the one whose value was its answer

    async def run_client(self) -> None:
        """Send one request after another on one connection, each for another customer."""
        loop = asyncio.get_running_loop()
        end = loop.time() + DURATION_S
        reader, writer = await asyncio.open_connection(harness.HOST, self.port)
        while loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S / CLIENTS))
            self.sent_count += 1
            request_id = f"request-{self.sent_count}"
            writer.write(harness.encode_request(request_id, "slot-search", self.sent_count, WAIT_MS))
            answer = await harness.read_answer(reader)
            self.record.note(f"client: {request_id} of customer {self.sent_count} answered {answer[:40]!r}")
            self._count(request_id, answer)
        writer.close()

    def _count(self, request_id: str, answer: bytes) -> None:
        if answer.startswith(b"value-of:%b:" % request_id.encode()):
            self.served += 1
        elif answer.startswith(b"value-of:"):
            self.foreign.append((request_id, answer.split(b":")[1].decode()))
        elif answer.startswith(b"-BUSY"):
            self.refused += 1
        else:
            self.failed += 1


async def play(record: harness.Record, platform: harness.Platform, is_troubled: bool) -> int:
    """Play the case and return its exit code."""
    options = ["--second-share", str(SECOND_SHARE), "--second-after-ms", str(SECOND_AFTER_MS)] * is_troubled
    deployment = await harness.start_deployment(platform, harness.make_settings(), options)
    run = Run(record, deployment.port)
    await asyncio.gather(*(run.run_client() for _ in range(CLIENTS)))
    late_ms = {words[1]: float(words[3]) for words in platform.read_backend_log() if words[0] == "second"}
    # A foreign value shifts the answers of its connection, so a value may also belong to a request whose
    # answer was sent once.  Only values that were sent twice, the second in time, are counted.
    counted = [pair for pair in run.foreign if late_ms.get(pair[1], LATEST_SECOND_MS) < LATEST_SECOND_MS]
    for request_id, owner in counted:
        record.note(f"{request_id} got the value of {owner}, which was sent twice in {late_ms[owner]} ms")
    record.say(
        f"served {run.served}, refused {run.refused}, failed {run.failed}; sent twice {len(late_ms)}, "
        f"latest after {max(late_ms.values(), default=0.0)} ms; foreign values {len(run.foreign)}, "
        f"of which counted {len(counted)}"
    )
    return harness.BROKEN if counted else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, play))
