"""Saved results with synthetic measurements, for the tests of the report."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from pathlib import Path

from scale.results import Environment, Point, Result, save_result

SIZES = (10.0, 50.0, 100.0, 500.0, 1000.0)
FIRST_TAKEN_AT = datetime(2026, 1, 1, tzinfo=UTC)
OLD_COMMIT = "a" * 40
NEW_COMMIT = "b" * 40
ENVIRONMENT = Environment(
    cores=8, memory_gb=24, python="3.11", load_before=1, load_after=1, busy_others=0, busy_others_cores=0
)


def write_sweep(
    folder: Path,
    commit: str,
    minutes: int,
    costs: list[float],
    name: str = "backends",
    measure: str = "change_cpu_us",
    dirty: bool = False,
) -> Path:
    """Save a sweep of the dimension `name` with one measure, and return the file's path."""
    points = [
        Point(sizes={name: size}, measures={measure: cost}) for size, cost in zip(SIZES, costs, strict=True)
    ]
    return save_result(
        Result(
            kind="slopes",
            name=name,
            commit=commit,
            dirty=dirty,
            seconds=1,
            points=points,
            taken_at=FIRST_TAKEN_AT + timedelta(minutes=minutes),
            environment=ENVIRONMENT,
        ),
        folder,
    )
