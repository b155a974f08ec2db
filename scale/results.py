"""The results of scale runs: their models, and the files in which they are stored."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Literal

from pydantic import AwareDatetime, BaseModel, ConfigDict, Field, ValidationError

from scale.errors import ScaleError

SCHEMA_VERSION: Literal[1] = 1
FILE_TIME_FORMAT = "%Y%m%dT%H%M%SZ"  # UTC time in the name of a result file

NonNegativeInt = Annotated[int, Field(ge=0)]


class ResultError(ScaleError):
    """A file that is not a result of a known schema version."""


class StrictModel(BaseModel):
    """A base class that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", allow_inf_nan=False)


class Environment(StrictModel):
    """The machine of a measurement, and the load of other processes during it."""

    cores: int
    memory_gb: float
    python: str  # version
    load_before: float  # load average over 1 minute
    load_after: float  # load average over 1 minute
    busy_others: NonNegativeInt  # other processes that used more than 5% of a core
    busy_others_cores: float  # cores that these processes used together
    note: str = ""


class Point(StrictModel):
    """The measures at one combination of sizes, by name."""

    sizes: dict[str, float]
    measures: dict[str, float]


class ScenarioEvent(StrictModel):
    """An event of a scenario, or a later step of one, as it took place."""

    at: float  # in seconds since the load began
    kind: str
    values: dict[str, float] = {}
    text: str = ""


class Result(StrictModel):
    """The result of one sweep, one scenario or one set of cold starts."""

    schema_version: Literal[1] = SCHEMA_VERSION
    kind: Literal["slopes", "run", "cold"]
    name: str = Field(pattern=r"^[A-Za-z0-9_-]+$")  # the sweep's dimension or the scenario's name
    commit: str
    dirty: bool  # whether the measured package differed from the commit
    taken_at: AwareDatetime
    seconds: float  # duration of the measurement
    environment: Environment
    points: list[Point]
    events: list[ScenarioEvent] = []


def now() -> datetime:
    """Return the current time in UTC."""
    return datetime.now(UTC)


def save_result(result: Result, folder: Path) -> Path:
    """Write a result into the folder, which is created if it is missing, and return the file's path."""
    folder.mkdir(parents=True, exist_ok=True)
    stamp = result.taken_at.astimezone(UTC).strftime(FILE_TIME_FORMAT)
    path = folder / f"{result.kind}-{result.name}-{result.commit[:7]}-{stamp}.json"
    text = json.dumps(result.model_dump(mode="json"), indent=1, sort_keys=True)
    path.write_text(text + "\n", encoding="utf-8")
    return path


def load_result(path: Path) -> Result:
    """Read a result; raise ResultError if the file does not hold one."""
    try:
        return Result.model_validate_json(path.read_text(encoding="utf-8"))
    except ValidationError as error:
        first_error = error.errors()[0]
        location = ".".join(map(str, first_error["loc"])) or "the file"
        raise ResultError(f"{path.name}: {location}: {first_error['msg']}") from None
    except (OSError, UnicodeDecodeError) as error:
        raise ResultError(f"{path.name}: {error}") from None


def load_results(folder: Path) -> list[Result]:
    """Read all results of a folder, oldest first."""
    return sorted(
        (load_result(path) for path in sorted(folder.glob("*.json"))), key=lambda result: result.taken_at
    )
