"""Run the real program as a subprocess, with a configuration."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from tests.support.paths import ROOT
from tests.support.peers import Address, make_config_text

CONFIG_FILE_NAME = "config.json"  # name of the configuration file that a test writes


def find_free_port() -> int:
    """Return a loopback port that is currently free."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        port: int = server.getsockname()[1]
        return port


@asynccontextmanager
async def running_process(
    path: Path, text: str, module_path: str = "", max_descriptors: int = 0
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run the program with the configuration `text`, written to `path`; kill it at the end if it still runs.

    The optional arguments are a directory that Python searches for modules first, and a limit on open
    file descriptors (0 for no limit).
    """
    path.write_text(text, encoding="utf-8")
    variables = {"EDGE_CONFIG": str(path)} | ({"PYTHONPATH": module_path} if module_path else {})

    def limit_descriptors() -> None:
        if max_descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))

    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ingress",
        cwd=ROOT,
        env=os.environ | variables,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit_descriptors,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def read_log_line(process: asyncio.subprocess.Process, *parts: str) -> str:
    """Return the next line of the program's log that contains all of `parts`.

    Raise EOFError, with the lines read, if the program ends without such a line.
    """
    assert process.stderr is not None
    skipped = ""
    while line := (await process.stderr.readline()).decode():
        if all(part in line for part in parts):
            return line
        skipped += line
    raise EOFError(skipped)


@asynccontextmanager
async def listening_process(
    directory: Path, *servers: dict[str, Any], max_descriptors: int = 0, **changes: Any
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Address]]:
    """Run the program; once it listens, yield the process and its address.

    `servers` and `changes` are passed to `make_config_text`.
    """
    address = ("127.0.0.1", find_free_port())
    text = make_config_text(*servers, listen=f"127.0.0.1:{address[1]}", **changes)
    async with running_process(
        directory / CONFIG_FILE_NAME, text, max_descriptors=max_descriptors
    ) as process:
        await read_log_line(process, "listening")
        yield process, address
