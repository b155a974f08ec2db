"""The entry point `python -m ingress`; EDGE_CONFIG names the configuration file."""

from __future__ import annotations

import signal
import sys

HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def main() -> int:
    """Run the program, and return its exit code."""
    # Importing the program takes about a second on a small share of a core.  A signal that arrives meanwhile
    # stays pending until its handler is set, so no SIGHUP is lost, and SIGTERM always ends the program
    # gracefully.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    from ingress.process import program

    return program.main(HANDLED_SIGNALS)


if __name__ == "__main__":
    sys.exit(main())
