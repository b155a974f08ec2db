"""A pytest plugin that tolerates the failures listed in KNOWN-RED.txt, and prints the list.

`scripts/check` loads the plugin with `-p tests.support.known_red`; without it, these failures fail the run.
Each line of the file has the form `test id: cause (issue)`, for example

    tests/process/test_restart.py::test_open_requests_are_answered: the answer comes 20 ms late (issue 12)

The listed tests still run.  The run of pytest fails if the file is malformed, lists more than
`MAX_KNOWN_FAILURES` tests, or lists a test that does not exist.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3
# The parameters of a test are in brackets and may contain spaces.
TEST_ID_PATTERN = r"\S+\.py::[^\s\[]+(?:\[.*?\])?"
LINE_PATTERN = re.compile(rf"(?P<test_id>{TEST_ID_PATTERN}): (?P<cause>\S.*) \((?P<issue>[^()]+)\)")


class KnownRedError(ValueError):
    """KNOWN-RED.txt is invalid; the text says why."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that may fail: its full node id, the cause of the failure, and the issue that tracks the fix."""

    test_id: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test_id}: {self.cause} ({self.issue})"


def parse_known_red(text: str) -> list[KnownFailure]:
    """Parse the text, with one entry on each line that is not blank; raise KnownRedError if it is invalid."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_FAILURES:
        raise KnownRedError(f"{FILE_NAME}: {len(lines)} tests, {MAX_KNOWN_FAILURES} are allowed")
    failures = []
    for line in lines:
        match = LINE_PATTERN.fullmatch(line)
        if match is None:
            raise KnownRedError(f"{FILE_NAME}: not of the form `test id: cause (issue)`: {line!r}")
        failures.append(KnownFailure(**match.groupdict()))
    return failures


def read_known_red(root: Path) -> list[KnownFailure]:
    """Return the entries of the file in the directory `root`; an empty list if there is no such file."""
    path = root / FILE_NAME
    return parse_known_red(path.read_text(encoding="utf-8")) if path.exists() else []


class KnownRedPlugin:
    """Marker of the known failures in one run of pytest: the run passes whether they pass or fail."""

    def __init__(self, failures: list[KnownFailure]) -> None:
        self.failures_by_id = {failure.test_id: failure for failure in failures}

    @pytest.hookimpl(tryfirst=True)  # before -k and -m deselect tests, so that each entry is found
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the tests by their exact ids; stop the run if an entry matches no test."""
        missing = set(self.failures_by_id)
        for item in items:
            failure = self.failures_by_id.get(item.nodeid)
            if failure is not None:
                missing.discard(item.nodeid)
                item.add_marker(pytest.mark.xfail(reason=f"{failure.cause} ({failure.issue})", strict=False))
        if missing:
            raise pytest.UsageError(f"{FILE_NAME}: no such test: {', '.join(sorted(missing))}")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the known failures."""
        if self.failures_by_id:
            terminalreporter.section(f"passed over by {FILE_NAME}")
            for failure in self.failures_by_id.values():
                terminalreporter.write_line(str(failure))


def pytest_configure(config: pytest.Config) -> None:
    """Read the file and register the plugin; stop the run if the file is malformed."""
    try:
        failures = read_known_red(config.rootpath)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    config.pluginmanager.register(KnownRedPlugin(failures), "known-red")
