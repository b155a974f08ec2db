"""Tests of the command that writes or checks the page."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from scale.commands.report import EXIT_OUT_OF_DATE, command
from tests.scale.report.saved_sweeps import OLD_COMMIT, SIZES, write_sweep


def test_check_fails_when_page_is_out_of_date(tmp_path: Path) -> None:
    results, page = tmp_path / "results", tmp_path / "page.md"
    write_sweep(results, OLD_COMMIT, 0, [2 * size for size in SIZES])
    arguments = ["--results", str(results), "--page", str(page), "--plots", str(tmp_path / "plots")]
    assert CliRunner().invoke(command, [*arguments, "--check"]).exit_code == EXIT_OUT_OF_DATE
    written = CliRunner().invoke(command, arguments)
    assert written.exit_code == 0, written.output
    assert CliRunner().invoke(command, [*arguments, "--check"]).exit_code == 0
    write_sweep(results, OLD_COMMIT, 1, [3 * size for size in SIZES])
    assert CliRunner().invoke(command, [*arguments, "--check"]).exit_code == EXIT_OUT_OF_DATE
