"""The runner's side of a child process: its start, messages, CPU time, memory and end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from pathlib import Path
from typing import TypeVar

import psutil

from scale.budget import TOOL_ROOT
from scale.errors import ScaleError
from scale.experiment.messages import FROM_CHILD, Failed, Message
from scale.experiment.pipe import MAX_LINE_BYTES

EXIT_TIMEOUT_S = 2.0  # time for a child to exit after its pipe was closed
M = TypeVar("M", bound=Message)


class ChildFailedError(ScaleError):
    """A child process has failed, has sent an unexpected message or is late with one."""


class Child:
    """A child process that exchanges messages with the runner over pipes."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process
        self.monitor = psutil.Process(process.pid)

    @classmethod
    async def spawn(cls, name: str, module: str, *arguments: Path) -> Child:
        """Start a module of this package as a process."""
        environment = os.environ | {"PYTHONPATH": str(TOOL_ROOT), "PYTHONDONTWRITEBYTECODE": "1"}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *map(str, arguments),
            cwd=TOOL_ROOT,
            env=environment,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        return cls(name, process)

    async def send(self, message: Message) -> None:
        """Send a message; raise ChildFailedError if the child has exited."""
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(message.model_dump_json().encode() + b"\n")
            await self.process.stdin.drain()
        except (ConnectionError, RuntimeError):
            raise ChildFailedError(f"{self.name}: exited early") from None

    async def receive(self, message_class: type[M], timeout_s: float) -> M:
        """Return the child's next message; raise ChildFailedError if it is late or of another class."""
        assert self.process.stdout is not None
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), timeout_s)
        except TimeoutError:
            raise ChildFailedError(
                f"{self.name}: no {message_class.__name__} within {timeout_s:g} s"
            ) from None
        if not line:
            raise ChildFailedError(f"{self.name}: exited without sending {message_class.__name__}")
        message = FROM_CHILD.validate_json(line)
        if isinstance(message, Failed):
            raise ChildFailedError(f"{self.name}: {message.text}")
        if not isinstance(message, message_class):
            raise ChildFailedError(f"{self.name}: sent {message.kind} instead of {message_class.__name__}")
        return message

    def measure_cpu_s(self) -> float:
        """Return the CPU seconds used so far, or 0 if the process has exited."""
        with contextlib.suppress(psutil.Error):
            times = self.monitor.cpu_times()
            return float(times.user + times.system)
        return 0.0

    def measure_resident_bytes(self) -> int:
        """Return the resident memory in bytes, or 0 if the process has exited."""
        with contextlib.suppress(psutil.Error):
            return int(self.monitor.memory_info().rss)
        return 0

    async def close(self) -> None:
        """Close the pipe, and kill the child if it does not exit in time."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), EXIT_TIMEOUT_S)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
