"""`python -m scale report`: fits, plots and the capacity page, computed from the saved results."""

from __future__ import annotations

import sys
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from scale.report.evidence import Evidence
from scale.report.measures import describe_measure
from scale.report.page import read_selected_runs, render_page
from scale.report.plots import plot_all
from scale.report.run_tables import VERSIONS
from scale.report.tables import describe_growth
from scale.report.versions import Sweep

ROOT = Path(__file__).resolve().parents[2]
PAGE_PATH = Path("docs/CAPACITY.md")
FOLDER_TYPE = click.Path(path_type=Path, file_okay=False)
EXIT_OUT_OF_DATE = 1  # exit code of a check that finds the page out of date


def _make_tables(evidence: Evidence) -> list[Table]:
    """Return a table for each sweep that has a target, with every measure that has enough points."""
    return [
        _make_table(evidence, sweep)
        for sweep in evidence.selected_runs.sweeps.values()
        if evidence.target_of(sweep.name)
    ]


def _make_table(evidence: Evidence, sweep: Sweep) -> Table:
    table = Table(title=f"{sweep.name}, target {evidence.target_of(sweep.name):,.0f}", title_justify="left")
    for column in ("measure", "version", "commit", "growth", "at the target"):
        table.add_column(column)
    for measure in sweep.after.list_measure_names():
        for version in VERSIONS:
            run = evidence.find_run(sweep.name, version)
            if run is None:
                continue
            description, growth = describe_measure(measure), describe_growth(run.fit_growth(measure))
            figure = evidence.estimate_at_target(sweep.name, measure, version)
            table.add_row(
                description.label, version, run.commit_label, growth, figure.format(description.unit)
            )
    return table


def _check_page(page: Path, text: str) -> None:
    """Exit with EXIT_OUT_OF_DATE if the page differs from the text."""
    if page.exists() and page.read_text(encoding="utf-8") == text:
        click.echo(f"{page.name} is up to date")
        return
    click.echo(f"{page.name} differs from what the saved results give: run python -m scale report", err=True)
    sys.exit(EXIT_OUT_OF_DATE)


@click.command(name="report")
@click.option(
    "--results",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    default=ROOT / "scale" / "results",
    show_default="scale/results",
    help="Folder of saved results.",
)
@click.option(
    "--plots",
    type=FOLDER_TYPE,
    default=ROOT / "scale" / "plots",
    show_default="scale/plots",
    help="Folder that the plots go to.",
)
@click.option(
    "--page",
    type=click.Path(path_type=Path, dir_okay=False),
    default=ROOT / PAGE_PATH,
    show_default=str(PAGE_PATH),
    help="The page that is written, or checked.",
)
@click.option("--check", is_flag=True, help="Write nothing; exit 1 if the page is not up to date.")
def command(results: Path, plots: Path, page: Path, check: bool) -> None:
    """Fit the saved results, and write the plots and the capacity page."""
    selected = read_selected_runs(results)
    text = render_page(selected, ROOT)
    if check:
        _check_page(page, text)
        return
    console = Console()
    for table in _make_tables(Evidence(selected)):
        console.print(table)
    for path in plot_all(selected, plots):
        click.echo(f"wrote {path.name}")
    page.write_text(text, encoding="utf-8")
    click.echo(f"wrote {page.name}")
