"""A child's side of its pipes to the runner: commands on standard input, reports on standard output."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable

import uvloop

from scale.experiment.messages import TO_CHILD, Failed, Message, ToChild

EXIT_INTERRUPTED = 130  # exit code after SIGINT
MAX_LINE_BYTES = 256 * 1024 * 1024  # a message may hold an endpoint list of many backends


def send_message(message: Message) -> None:
    """Write one message to the runner."""
    sys.stdout.write(message.model_dump_json() + "\n")
    sys.stdout.flush()


async def receive_commands() -> AsyncIterator[ToChild]:
    """Yield the runner's messages until it closes its end of the pipe."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield TO_CHILD.validate_json(line)


async def _run_body(body: Callable[[], Awaitable[None]]) -> Exception | None:
    """Run a child's body and return the exception, of any class, that ended it, or None."""
    (outcome,) = await asyncio.gather(body(), return_exceptions=True)
    if isinstance(outcome, Exception):
        return outcome
    if outcome is not None:
        raise outcome
    return None


def run_child(body: Callable[[], Awaitable[None]]) -> int:
    """Run a child until its body ends or the runner closes the pipe, and return the exit code.

    A failure of the body is reported to the runner in one message.
    """
    try:
        error = uvloop.run(_run_body(body))
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    if error is None:
        return 0
    send_message(Failed(text=f"{type(error).__name__}: {error}"))
    return 1
