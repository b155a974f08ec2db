"""Tests that the files, functions, classes, tests and log lines cited in the documentation exist.

The tests check the code spans, i.e. the text in `backticks`, of all pages except docs/CAPACITY.md, which the
scale tool generates and `tests/scale` checks.  docs/architecture.md may omit `ingress.` at the start of a
dotted name.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.support.definitions import Definitions

ROOT = Path(__file__).resolve().parent.parent
PAGES = [
    ROOT / "README.md",
    ROOT / "DEVELOPERS.md",
    *(page for page in sorted((ROOT / "docs").rglob("*.md")) if page.name != "CAPACITY.md"),
]
ARCHITECTURE = ROOT / "docs" / "architecture.md"
CROSSINGS = ROOT / "docs" / "crossings.md"
OPTIONAL_PATH = re.compile(r"KNOWN-RED\.txt|found/|\.venv(-ci)?/.*")  # cited, but not part of every checkout

PATH = re.compile(r"[\w.-]+(/[\w.-]+)+/?|[\w.-]+/|[\w-]+\.(py|md|toml|txt|json)")
DOTTED_NAME = re.compile(r"[a-z_]+(\.\w+)+")
CLASS_OR_MEMBER = re.compile(r"[A-Z][a-z]\w*(\.\w+)*")
CONSTANT = re.compile(r"(?!EDGE_CONFIG)[A-Z][A-Z0-9]*(_[A-Z0-9]+)+")  # EDGE_CONFIG is an environment variable
TEST_NAME = re.compile(r"(?P<name>[a-z0-9]+(_[a-z0-9]+){2,})(?P<cut>\.\.\.)?(\[[^\]]*\])?")
LOG_ROW = re.compile(r"\| (?P<symptom>[^|]+) \| (?P<log>[^|]*`[^|]+) \| (?P<place>[^|]+) \|")
ELLIPSIS = "…"  # replaces the variable parts of a cited log line
LOG_METHODS = {"debug", "info", "warning", "error", "exception", "critical"}
FIRST_FIELD = re.compile(r"\w+=%|%")  # end of the constant words of a log line


@dataclass(frozen=True, slots=True)
class Span:
    """A code span of a page, and its position."""

    page: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.page}:{self.line}: {self.text}"


def find_spans(page: Path) -> Iterator[Span]:
    """Yield the code spans of a page; skip code blocks."""
    inside_block = False
    for number, line in enumerate(page.read_text(encoding="utf-8").splitlines(), 1):
        if line.lstrip().startswith("```"):
            inside_block = not inside_block
        elif not inside_block:
            for text in re.findall(r"`([^`]+)`", line):
                yield Span(page.relative_to(ROOT).as_posix(), number, text)


def get_page_name(page: Path) -> str:
    return page.name


@pytest.fixture(scope="module")
def definitions() -> Definitions:
    return Definitions(ROOT, "ingress")


@pytest.mark.parametrize("page", PAGES, ids=get_page_name)
def test_paths_cited_on_a_page_exist(page: Path) -> None:
    path_spans = [
        span
        for span in find_spans(page)
        if PATH.fullmatch(span.text) and not OPTIONAL_PATH.fullmatch(span.text)
    ]
    missing = [
        str(span)
        for span in path_spans
        if not (ROOT / span.text).exists() and not (page.parent / span.text).exists()
    ]
    assert missing == []


@pytest.mark.parametrize("page", PAGES, ids=get_page_name)
def test_dotted_names_cited_on_a_page_exist(page: Path, definitions: Definitions) -> None:
    first_components = {"ingress", *definitions.part_names}
    dotted_name_spans = [
        span
        for span in find_spans(page)
        if DOTTED_NAME.fullmatch(span.text)
        and not PATH.fullmatch(span.text)
        and span.text.split(".")[0] in first_components
    ]
    assert [str(span) for span in dotted_name_spans if not definitions.has_dotted_name(span.text)] == []


@pytest.mark.parametrize("page", PAGES, ids=get_page_name)
def test_classes_and_constants_cited_on_a_page_exist(page: Path, definitions: Definitions) -> None:
    class_and_constant_spans = [
        span
        for span in find_spans(page)
        if CLASS_OR_MEMBER.fullmatch(span.text) or CONSTANT.fullmatch(span.text)
    ]
    assert [
        str(span) for span in class_and_constant_spans if not definitions.has_name_in_any_module(span.text)
    ] == []


def test_tests_cited_on_the_crossings_page_exist() -> None:
    test_names = {
        node.name
        for path in (ROOT / "tests").rglob("test_*.py")
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    }
    missing = []
    for span in find_spans(CROSSINGS):
        match = TEST_NAME.fullmatch(span.text)
        if match is None:
            continue
        name = f"test_{match['name']}"
        if not (
            any(test_name.startswith(name) for test_name in test_names)
            if match["cut"]
            else name in test_names
        ):
            missing.append(str(span))
    assert missing == []


def test_log_lines_cited_on_the_architecture_page_exist() -> None:
    _, _, section = ARCHITECTURE.read_text(encoding="utf-8").partition("## Where to look when")
    rows = list(LOG_ROW.finditer(section))
    assert len(rows) > 5
    missing = []
    for row in rows:
        files = [ROOT / text for text in re.findall(r"`(ingress/[\w/]+\.py)`", row["place"])]
        assert files, f"no module in the row of {row['symptom']!r}"
        source = "".join(path.read_text(encoding="utf-8") for path in files)
        for line in re.findall(r"`([^`]+)`", row["log"]):
            missing += [part for part in line.split(ELLIPSIS) if part.strip() not in source]
    assert missing == []


def find_log_messages(path: Path) -> Iterator[str]:
    """Yield the constant words at the start of each log message of a module."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute) or not node.args:
            continue
        message = node.args[0]
        if (
            node.func.attr in LOG_METHODS
            and isinstance(message, ast.Constant)
            and isinstance(message.value, str)
        ):
            yield FIRST_FIELD.split(message.value)[0].strip()


def test_architecture_page_cites_every_log_line() -> None:
    _, _, section = ARCHITECTURE.read_text(encoding="utf-8").partition("## Where to look when")
    logged = {
        line for path in sorted((ROOT / "ingress").rglob("*.py")) for line in find_log_messages(path) if line
    }
    assert len(logged) > 10
    assert sorted(line for line in logged if f"`{line}" not in section) == []
