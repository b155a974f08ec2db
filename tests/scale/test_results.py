"""Tests of results: saving, loading and rejecting them, and the environment and commit that they record."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from click.testing import CliRunner

from scale.cli import main
from scale.environment import UNKNOWN_COMMIT, MachineObserver, read_commit
from scale.errors import ScaleError
from scale.results import (
    Environment,
    Point,
    Result,
    ResultError,
    ScenarioEvent,
    load_result,
    load_results,
    save_result,
)

ENVIRONMENT = Environment(
    cores=4,
    memory_gb=8.0,
    python="3.11.7",
    load_before=0.5,
    load_after=1.5,
    busy_others=0,
    busy_others_cores=0.0,
)
TAKEN_AT = datetime(2026, 12, 2, 5, 0, tzinfo=UTC)


def make_result(taken_at: datetime = TAKEN_AT) -> Result:
    return Result(
        kind="run",
        name="zone-lost",
        commit="0123456789abcdef",
        dirty=False,
        taken_at=taken_at,
        seconds=1.5,
        environment=ENVIRONMENT,
        points=[Point(sizes={"backends": 2.0}, measures={"served_share": 0.99})],
        events=[ScenarioEvent(at=1.0, kind="zone_lost", values={"backends": 3.0})],
    )


def test_saved_result_is_loaded_unchanged(tmp_path: Path) -> None:
    path = save_result(make_result(), tmp_path)
    assert path.name == "run-zone-lost-0123456-20261202T050000Z.json"
    assert load_result(path) == make_result()


def test_results_are_loaded_oldest_first(tmp_path: Path) -> None:
    later = make_result(TAKEN_AT + timedelta(hours=1))
    save_result(later, tmp_path)
    save_result(make_result(), tmp_path)
    assert load_results(tmp_path) == [make_result(), later]


@pytest.mark.parametrize(
    ("text", "faulty_part"),
    [
        ("{", "the file"),
        ("[]", "the file"),
        ('{"kind": "other"}', "kind"),
        ('{"schema_version": 2}', "schema_version"),
        (make_result().model_dump_json()[:-1] + ', "host": "x"}', "host"),
    ],
)
def test_invalid_result_file_names_the_faulty_field(text: str, faulty_part: str, tmp_path: Path) -> None:
    path = tmp_path / "slopes-x.json"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(ResultError, match=rf"slopes-x.json: .*{faulty_part}") as caught:
        load_result(path)
    assert "\n" not in str(caught.value)


def test_observer_reports_the_machine_and_the_note() -> None:
    with MachineObserver("a note") as observer:
        pass
    environment = observer.result()
    assert environment.cores >= 1
    assert environment.note == "a note"


def test_folder_without_the_package_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(ScaleError, match="ingress"):
        read_commit(tmp_path)


def test_checkout_with_the_former_package_name_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "mulleinhall").mkdir()
    with pytest.raises(ScaleError, match="from before it became `ingress`"):
        read_commit(tmp_path)


def test_copy_without_a_git_repository_has_an_unknown_commit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("GIT_CEILING_DIRECTORIES", str(tmp_path.parent))
    (tmp_path / "ingress").mkdir()
    (tmp_path / "ingress" / "__init__.py").touch()
    assert read_commit(tmp_path) == (UNKNOWN_COMMIT, True)


def test_user_error_is_printed_in_one_line(tmp_path: Path) -> None:
    invocation = CliRunner().invoke(main, ["slopes", "--project", str(tmp_path), "--dimension", "acceptance"])
    assert invocation.exit_code == 2
    assert "ingress" in invocation.stderr.splitlines()[-1]
    assert "Traceback" not in invocation.stderr
