"""Tests of KNOWN-RED.txt: its syntax, and that pytest tolerates the failures it lists and no others."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.known_red import KnownFailure, KnownRedError, parse_known_red, read_known_red
from tests.support.paths import ROOT

ENTRY = "test_sample.py::test_red: a cause (issue 5)"
SAMPLE = """
import pytest

def test_green():
    pass

def test_red():
    assert False

@pytest.mark.parametrize("text", ["a: b", "c"])
def test_red_too(text):
    assert text == "c"
"""


def run_sample(folder: Path, known_red: str | None, sample: str = SAMPLE) -> subprocess.CompletedProcess[str]:
    """Run pytest with the plugin on a file of sample tests."""
    (folder / "pytest.ini").write_text("[pytest]\n", encoding="utf-8")
    (folder / "test_sample.py").write_text(sample, encoding="utf-8")
    if known_red is not None:
        (folder / "KNOWN-RED.txt").write_text(known_red, encoding="utf-8")
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-p",
        "tests.support.known_red",
        "-p",
        "no:cacheprovider",
    ]
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, check=False, timeout=60
    )


def test_file_of_this_project_is_well_formed() -> None:
    assert len(read_known_red(ROOT)) <= 3


@pytest.mark.parametrize(
    "test_id", ["tests/a.py::test_b", "tests/a.py::TestA::test_b", "tests/a.py::test_b[c: d e]"]
)
def test_entry_is_parsed(test_id: str) -> None:
    failure = KnownFailure(test_id, "late: by 20 ms (measured)", "issue 7")
    assert parse_known_red(f"\n{failure}\n") == [failure]


def test_missing_and_empty_files_list_no_failures(tmp_path: Path) -> None:
    assert read_known_red(tmp_path) == []
    (tmp_path / "KNOWN-RED.txt").write_text("\n\n", encoding="utf-8")
    assert read_known_red(tmp_path) == []


@pytest.mark.parametrize(
    "line",
    [
        "test_red",
        "tests/a.py: a cause (issue 5)",
        "tests/a.py::test_b",
        "tests/a.py::test_b: a cause",
        "tests/a.py::test_b: (issue 5)",
        "tests/a.py::test_b: a cause ()",
        "tests/a.py::test_b a cause (issue 5)",
    ],
)
def test_malformed_line_raises_an_error(line: str) -> None:
    with pytest.raises(KnownRedError, match="not of the form"):
        parse_known_red(line)


def test_more_than_three_entries_raise_an_error() -> None:
    entries = [f"tests/a.py::test_{n}: a cause (issue {n})" for n in range(4)]
    assert len(parse_known_red("\n".join(entries[:3]))) == 3
    with pytest.raises(KnownRedError, match="4 tests, 3 are allowed"):
        parse_known_red("\n".join(entries))


def test_listed_failures_are_tolerated_and_printed(tmp_path: Path) -> None:
    result = run_sample(tmp_path, f"{ENTRY}\ntest_sample.py::test_red_too[a: b]: a cause (issue 6)\n")
    assert result.returncode == 0, result.stdout
    assert "2 passed, 2 xfailed" in result.stdout
    assert ENTRY in result.stdout


def test_unlisted_failure_fails_the_run(tmp_path: Path) -> None:
    result = run_sample(tmp_path, ENTRY)
    assert result.returncode == 1
    assert "1 failed, 2 passed, 1 xfailed" in result.stdout
    assert "FAILED test_sample.py::test_red_too[a: b]" in result.stdout


def test_listed_test_that_passes_does_not_fail_the_run(tmp_path: Path) -> None:
    result = run_sample(tmp_path, "test_sample.py::test_green: flaky (issue 5)", "def test_green(): pass\n")
    assert result.returncode == 0
    assert "1 xpassed" in result.stdout


def test_no_failure_is_tolerated_without_a_file(tmp_path: Path) -> None:
    result = run_sample(tmp_path, None)
    assert result.returncode == 1
    assert "2 failed, 2 passed" in result.stdout


@pytest.mark.parametrize(
    ("known_red", "reason"),
    [("test_red", "not of the form"), ("test_sample.py::test_gone: a cause (issue 5)", "no such test")],
)
def test_run_stops_on_an_invalid_file(tmp_path: Path, known_red: str, reason: str) -> None:
    result = run_sample(tmp_path, known_red)
    assert result.returncode == pytest.ExitCode.USAGE_ERROR
    assert reason in result.stderr
