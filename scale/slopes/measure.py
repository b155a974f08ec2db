"""The measuring child: a job as JSON on standard input, its measurement as JSON on standard output."""

from __future__ import annotations

import logging
import sys

from scale.slopes.job import Job
from scale.slopes.passes import PASSES


def main() -> None:
    """Runs the job's pass."""
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    job = Job.model_validate_json(sys.stdin.read())
    print(PASSES[job.measuring](job).model_dump_json())


if __name__ == "__main__":
    main()
