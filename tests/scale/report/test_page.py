"""Tests of the capacity page: its figures name their sources, and the names it cites exist in the code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from scale.report.constants import Constants
from scale.report.figures import Mark
from scale.report.page import TEMPLATE, Page, TemplateError, read_selected_runs, render_page
from scale.report.versions import SelectedRuns
from tests.scale.report.saved_sweeps import OLD_COMMIT, SIZES, write_sweep
from tests.support.paths import ROOT


def test_committed_page_matches_saved_results() -> None:
    page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
    assert page == render_page(read_selected_runs(ROOT / "scale" / "results"), ROOT), (
        "run python -m scale report"
    )


def test_each_path_and_name_cited_on_page_exists() -> None:
    page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
    paths = set(re.findall(r"`((?:ingress|scale)/[\w/.-]+)`", page))
    assert len(paths) > 5
    assert [path for path in sorted(paths) if not (ROOT / path).exists()] == []
    assert "` (not in this code)" not in page
    for name, path in re.findall(r"`([\w.]+)(?: = [\d.,]+)?` in `([\w/.]+)`", page):
        text = (ROOT / path).read_text(encoding="utf-8")
        assert re.search(rf"\b{name.rpartition('.')[2]}\b", text), f"{name} is not in {path}"


def test_page_without_results_shows_no_measured_figures() -> None:
    page = render_page(SelectedRuns(), ROOT)
    marked = [line for line in page.splitlines() if line.startswith("|")]
    assert not any(f"{Mark.MEASURED}" in line or f"{Mark.EXTRAPOLATED}" in line for line in marked)
    assert any("not measured" in line and f"{Mark.MISSING}" in line for line in marked)


def test_row_based_on_results_names_its_result_file(tmp_path: Path) -> None:
    path = write_sweep(tmp_path, OLD_COMMIT, 0, [125 * size for size in SIZES], measure="list_bytes")
    page = render_page(read_selected_runs(tmp_path), ROOT)
    row = next(line for line in page.splitlines() if "state: the complete list" in line)
    assert path.name in row
    assert f"{Mark.EXTRAPOLATED}" in row
    assert "25 MB" in row


def test_unknown_placeholder_is_rejected() -> None:
    page = Page(SelectedRuns(), Constants(ROOT))
    for key in ("asked.moons", "nothing.here", "table.other"):
        with pytest.raises(TemplateError, match=key):
            page.render(f"${{{key}}}")


def test_template_text_marks_no_figure_as_measured() -> None:
    lines = TEMPLATE.read_text(encoding="utf-8").splitlines()
    legend = [f"- {Mark.MEASURED}", f"- {Mark.EXTRAPOLATED}"]
    body_lines = [line for line in lines if not any(line.startswith(start) for start in legend)]
    assert not any(str(mark) in line for line in body_lines for mark in (Mark.MEASURED, Mark.EXTRAPOLATED))
