"""The measuring child process: reads a job from standard input, writes its measurement to standard output."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable

from scale.slopes.job import Job, Measurement, Pass
from scale.slopes.passes.counter import measure_counter
from scale.slopes.passes.memory import measure_memory
from scale.slopes.passes.operations import measure_operations
from scale.slopes.passes.times import measure_times

PASSES: dict[Pass, Callable[[Job], Measurement]] = {
    Pass.TIMES: measure_times,
    Pass.OPERATIONS: measure_operations,
    Pass.MEMORY: measure_memory,
    Pass.COUNTER: measure_counter,
}


def main() -> None:
    """Run the pass of the job and print its measurement as JSON."""
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    job = Job.model_validate_json(sys.stdin.read())
    print(PASSES[job.measuring](job).model_dump_json())


if __name__ == "__main__":
    main()
