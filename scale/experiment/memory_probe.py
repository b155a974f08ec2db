"""Measure the memory of one hollow ingress in a separate process, and print it in bytes."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import psutil

from scale.experiment.hollow_process import import_measured_package
from scale.scenario import load_scenario
from scale.standins.registry import Entry, Registry

SAMPLED_GATEWAYS = 4  # gateways over which the growth of memory is averaged
CONTROL_BYTES = 300 * 1024  # memory of the watch and the counter's client with their buffers


async def measure_hollow_bytes(scenario_path: Path) -> int:
    """Return the bytes of one hollow ingress with the scenario's endpoint list.

    These are the bytes by which the process grows for one more gateway with that list, and CONTROL_BYTES.
    """
    from ingress.decisions import Gateway
    from ingress.settings_codec import decode_settings
    from scale.experiment.settings import ingress_settings, zone_name
    from scale.experiment.worker import decode_known_endpoints

    scenario = load_scenario(scenario_path)
    zones = scenario.sizes.zones
    entries = [Entry(f"b{n}", ("127.0.0.1", 1), zone_name(n % zones)) for n in range(scenario.sizes.backends)]
    known_endpoints = decode_known_endpoints(Registry(entries).encode_response_body(None).decode())
    settings = decode_settings(ingress_settings(scenario, 0))
    process = psutil.Process()
    gateways = [Gateway(settings, 0)]
    gateways[0].handle(0.0, known_endpoints)
    bytes_before = process.memory_info().rss
    for seed in range(SAMPLED_GATEWAYS):
        gateways.append(Gateway(settings, seed))
        gateways[-1].handle(0.0, known_endpoints)
    return max(0, process.memory_info().rss - bytes_before) // SAMPLED_GATEWAYS + CONTROL_BYTES


if __name__ == "__main__":
    import_measured_package(Path(sys.argv[1]))
    print(asyncio.run(measure_hollow_bytes(Path(sys.argv[2]))))
