"""The process of a soak run's floods and crowd: `python -m scale.soak.bad_clients HOST PORT SECONDS SEED`."""

from __future__ import annotations

import itertools
import socket
import sys
import threading
import time

from scale.addresses import Address
from scale.soak.commands import make_crowd_data, make_flood_payload
from scale.soak.crowd import CrowdClient, run_crowd
from scale.soak.flood import flooding
from scale.soak.plan import CrowdKind, FloodKind, SoakPlan, draw_plan

SLOW_BYTES_AT_ONCE = 2000
ALL_BYTES_AT_ONCE = 1 << 20
CONNECT_PAUSE_S = 0.001  # between the connections of a client that only connects


def main(host: str, port: str, seconds: str, seed: str) -> None:
    """Send what the plan of the seed says for some seconds."""
    address, plan, end_time = (host, int(port)), draw_plan(int(seed)), time.monotonic() + float(seconds)
    stop = threading.Event()
    threads = [threading.Thread(target=run_crowd, args=(address, make_crowd(plan), stop))]
    if plan.flood is FloodKind.CONNECT:
        threads += [
            threading.Thread(target=connect_again_and_again, args=(address, stop))
            for _ in range(plan.flooder_count)
        ]
    for thread in threads:
        thread.start()
    sends = plan.flood not in (FloodKind.NONE, FloodKind.CONNECT)
    flooder_count = plan.flooder_count if sends else 0
    with flooding(
        address, lambda client, write: make_flood_payload(plan.flood, client, write), flooder_count
    ):
        time.sleep(max(0.0, end_time - time.monotonic()))
    stop.set()
    for thread in threads:
        thread.join()


def make_crowd(plan: SoakPlan) -> list[CrowdClient]:
    """Return the clients of the plan's crowd."""
    numbers = itertools.count()

    def make_data() -> bytes:
        return make_crowd_data(plan.crowd, b"crowd-%d" % next(numbers))

    at_once = SLOW_BYTES_AT_ONCE if plan.crowd is CrowdKind.SLOW else ALL_BYTES_AT_ONCE
    return [CrowdClient(make_data, at_once) for _ in range(plan.crowd_size)]


def connect_again_and_again(address: Address, stop: threading.Event) -> None:
    """Connect and close until the event is set."""
    while not stop.wait(CONNECT_PAUSE_S):
        try:
            socket.create_connection(address, timeout=1.0).close()
        except OSError:
            continue


if __name__ == "__main__":
    main(*sys.argv[1:])
