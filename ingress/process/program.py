"""The program, which reads its configuration, serves, and handles SIGHUP, SIGTERM and SIGINT."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import time
from collections.abc import Collection
from pathlib import Path

import uvloop

from ingress.process.configuration import Config, ConfigurationError, read_config
from ingress.process.ingress import Ingress

log = logging.getLogger("ingress")

LOG_FORMAT = "%(asctime)s.%(msecs)03dZ %(levelname)s %(name)s: %(message)s"
LOG_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"  # in UTC


def load_config() -> Config:
    """Read and return the configuration; raise ConfigurationError if it is missing or invalid."""
    path = os.environ.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigurationError("EDGE_CONFIG: not set")
    try:
        return read_config(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"EDGE_CONFIG: {error}") from None


async def serve(config: Config, blocked_signals: Collection[signal.Signals]) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    The blocked signals are unblocked once their handlers are set, and blocked again at the end.  Raise
    OSError if the address to listen on is in use.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    ingress = Ingress(config)
    del config  # releases its endpoint list, which may be long and is used only once
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload_config, ingress)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, blocked_signals)
    await ingress.run(stop)
    # The loop removes the handlers when it closes; an unblocked signal would then kill the exiting process.
    signal.pthread_sigmask(signal.SIG_BLOCK, blocked_signals)


def reload_config(ingress: Ingress) -> None:
    """Apply the current configuration file; keep the old values if the file is invalid or incomplete."""
    try:
        config = load_config()
    except ConfigurationError as error:
        reason = str(error)
    else:
        ingress.reload(config)
        return
    log.error("configuration rejected reason=%r", reason)


def configure_logging() -> None:
    """Log to standard error, with the time of each line in UTC."""
    logging.Formatter.converter = time.gmtime
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format=LOG_FORMAT, datefmt=LOG_TIME_FORMAT)


def main(blocked_signals: Collection[signal.Signals]) -> int:
    """Serve until SIGTERM or SIGINT, and return the exit code.

    The code is 2 if the configuration is invalid, and 1 if the address to listen on is in use.  The caller
    must have blocked the signals that the program handles; they are blocked again on return.
    """
    configure_logging()
    try:
        server = serve(load_config(), blocked_signals)
    except ConfigurationError as error:
        print(f"ingress: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(server)
    except OSError as error:
        print(f"ingress: listen: {error}", file=sys.stderr)
        return 1
    return 0
