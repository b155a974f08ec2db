"""`python -m scale report`: fits, plots and the capacity page out of the saved results."""

from __future__ import annotations

import sys
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from scale.report.evidence import Evidence
from scale.report.measures import describe
from scale.report.page import read_picked, render_page
from scale.report.plots import plot_all
from scale.report.tables import describe_growth
from scale.report.targets import DIMENSIONS

ROOT = Path(__file__).resolve().parents[2]
PAGE = Path("docs/CAPACITY.md")
FOLDER = click.Path(path_type=Path, file_okay=False)
OUT_OF_DATE = 1  # exit code


def _tables(evidence: Evidence) -> list[Table]:
    """One table for each sweep, with every measure that has enough points."""
    made = []
    for dimension, sweep in evidence.picked.sweeps.items():
        table = Table(title=f"{dimension}, target {DIMENSIONS.get(dimension, 0):,.0f}", title_justify="left")
        for column in ("measure", "version", "commit", "growth", "at the target"):
            table.add_column(column)
        for measure in sweep.after.measures():
            for version, run in sweep.runs().items():
                figure = evidence.at_target(dimension, measure, "before" if version == "before" else "after")
                growth = describe_growth(run.growth(measure))
                shown = describe(measure)
                table.add_row(shown.text, version, run.version, growth, figure.text(shown.unit))
        made.append(table)
    return made


def _check(page: Path, text: str) -> None:
    """Ends with OUT_OF_DATE unless the page holds just this text."""
    if page.exists() and page.read_text(encoding="utf-8") == text:
        click.echo(f"{page.name} is up to date")
        return
    click.echo(f"{page.name} differs from what the saved results give: run python -m scale report", err=True)
    sys.exit(OUT_OF_DATE)


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
    type=FOLDER,
    default=ROOT / "scale" / "plots",
    show_default="scale/plots",
    help="Folder that the plots go to.",
)
@click.option(
    "--page",
    type=click.Path(path_type=Path, dir_okay=False),
    default=ROOT / PAGE,
    show_default=str(PAGE),
    help="The page that is written, or checked.",
)
@click.option("--check", is_flag=True, help="Write nothing; exit 1 if the page is not up to date.")
def command(results: Path, plots: Path, page: Path, check: bool) -> None:
    """Fits the saved results, and writes the plots and the capacity page."""
    picked = read_picked(results)
    text = render_page(picked, ROOT)
    if check:
        _check(page, text)
        return
    console = Console()
    for table in _tables(Evidence(picked)):
        console.print(table)
    for path in plot_all(picked, plots):
        click.echo(f"wrote {path.name}")
    page.write_text(text, encoding="utf-8")
    click.echo(f"wrote {page.name}")
