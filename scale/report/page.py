"""Render the capacity page from its template, the saved results and the constants of the code."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from string import Template

from scale.errors import ScaleError
from scale.report import model, run_tables, tables
from scale.report.cold import cold_start_table
from scale.report.constants import Constants
from scale.report.evidence import Evidence
from scale.report.figures import COMPUTED_DIGITS, Mark, format_number
from scale.report.leases import LEASE_PLAN, compute_lease_load
from scale.report.limit import Limit
from scale.report.limits import limits_in_order
from scale.report.loads import (
    DAY_CHANGES_PER_S,
    LIST_CHANGES_PER_S,
    MIN_SUBSET_BACKENDS,
    SUBSET_FACTOR,
    WORST_MINUTE_CHANGES_PER_S,
)
from scale.report.roles.sources import Sources
from scale.report.roles.tables import ROLE_ROWS
from scale.report.rows import result_link
from scale.report.targets import SITE, TARGETS, iterate_entries
from scale.report.versions import SelectedRuns, read_commit_order, read_saved_results, select_runs
from scale.slopes.job import CounterModel

TEMPLATE = Path(__file__).with_name("capacity.md.tmpl")

# Figures computed from the targets and the site's documented figures, by their names in the template.
COMPUTED_VALUES = {
    "day_per_s": DAY_CHANGES_PER_S,
    "list_per_s": LIST_CHANGES_PER_S,
    "storm_per_s": WORST_MINUTE_CHANGES_PER_S,
    "backends_per_ingress": TARGETS.backends / TARGETS.ingresses,
    "requests_per_ingress": TARGETS.requests_per_s / TARGETS.ingresses,
    "least_subset": MIN_SUBSET_BACKENDS,
    "subset_factor": SUBSET_FACTOR,
    "scaled_subset": model.scaled_subset(
        MIN_SUBSET_BACKENDS, SUBSET_FACTOR, TARGETS.backends, TARGETS.ingresses
    ),
    "fixed_covers": model.covered_backends(MIN_SUBSET_BACKENDS, TARGETS.ingresses),
    "tenant_rate": TARGETS.requests_per_s / TARGETS.tenants,
    "counter_round_trip_ms": model.call_time_ms(SITE.counter_call_ms, SITE.counter_way_ms),
}


class TemplateError(ScaleError):
    """The template uses a placeholder that the page does not provide."""


class PageTemplate(Template):
    """A template whose placeholders are dotted names, as ${asked.ingresses}."""

    idpattern = r"[a-z][a-zA-Z0-9_.]*"


class Page(Mapping[str, str]):
    """The values of the template's placeholders; each is computed when the template uses it."""

    def __init__(self, selected_runs: SelectedRuns, constants: Constants) -> None:
        self._selected_runs = selected_runs
        self._constants = constants
        self._evidence = Evidence(selected_runs)
        self._groups: dict[str, Callable[[str], str]] = {
            "asked": lambda name: format_number(getattr(TARGETS, name), 3),
            "site": lambda name: format_number(getattr(SITE, name), 3),
            "constant": constants.describe,
            "role": self._render_role,
            "lease": lambda name: format_number(getattr(compute_lease_load(), name), COMPUTED_DIGITS),
            "counter": lambda name: format_number(getattr(CounterModel(), name)),
            "plan": lambda name: f"{getattr(LEASE_PLAN, name):g}",
            "table": lambda name: self._tables[name](),
            "text": lambda name: self._texts[name](),
            "after": self._render_measured,
            "computed": lambda name: format_number(COMPUTED_VALUES[name], COMPUTED_DIGITS),
            "mark": self._render_mark,
        }
        self._tables: dict[str, Callable[[], str]] = {
            "asked": lambda: tables.figure_table(iterate_entries(TARGETS)),
            "site": lambda: tables.figure_table(iterate_entries(SITE)),
            "limits": lambda: tables.limit_table(self._find_limits()),
            "mechanism": lambda: run_tables.mechanism_table(self._evidence),
            "runs": lambda: run_tables.run_table(self._selected_runs),
            "scenarios": lambda: tables.scenario_table(self._evidence),
            "ratios": lambda: run_tables.ratio_table(self._evidence),
            "cold": lambda: cold_start_table(self._selected_runs.cold_starts),
            "slopes": lambda: tables.slope_sections(self._evidence),
        }
        self._texts: dict[str, Callable[[], str]] = {
            "first_limit": lambda: _describe_first_limit(self._find_limits())
        }

    def __getitem__(self, key: str) -> str:
        group, _, name = key.partition(".")
        try:
            return self._groups[group](name)
        except (KeyError, AttributeError):
            raise TemplateError(f"{TEMPLATE.name}: unknown placeholder ${{{key}}}") from None

    def __iter__(self) -> Iterator[str]:
        return iter(self._groups)

    def __len__(self) -> int:
        return len(self._groups)

    def render(self, template: str) -> str:
        """Return the page; raise TemplateError if the template uses an unknown placeholder."""
        return PageTemplate(template).substitute(self)

    def _find_limits(self) -> list[Limit]:
        return limits_in_order(self._evidence, self._constants)

    def _render_role(self, name: str) -> str:
        """Return the table of a role, by the role's name in the template."""
        return tables.role_table(ROLE_ROWS[name](Sources(self._evidence, self._constants)))

    def _render_measured(self, name: str) -> str:
        """Return the figure of DIMENSION.MEASURE at the dimension's target, with its mark and result file."""
        dimension, _, measure = name.partition(".")
        figure = self._evidence.estimate_at_target(dimension, measure)
        files = "".join(f", {result_link(file)}" for file in figure.files)
        return f"{figure.format()} ({figure.mark}{files})"

    def _render_mark(self, name: str) -> str:
        """Return the mark of SWEEP.MEASURE or scenario.MEASURE: how its figure was obtained."""
        sweep, _, measure = name.partition(".")
        if sweep == "scenario":
            return str(self._evidence.scenario_figure(measure).mark)
        return str(self._evidence.estimate_at_target(sweep, measure).mark)


def _describe_first_limit(limits: list[Limit]) -> str:
    """Describe the first measured or extrapolated limit that is reached by the full size."""
    for limit in limits:
        size = limit.size
        if size is not None and size.mark in (Mark.MEASURED, Mark.EXTRAPOLATED) and not limit.is_past_target:
            return f"{limit.label}: at {size.format(limit.dimension)} ({size.mark})"
    return "none of those measured so far (*missing*)"


def read_selected_runs(folder: Path) -> SelectedRuns:
    """Read the saved results of a folder and select the runs for the page and the plots."""
    return select_runs(read_saved_results(folder), read_commit_order(folder))


def render_page(selected_runs: SelectedRuns, root: Path) -> str:
    """Render the page from the selected runs and the code below `root`."""
    return Page(selected_runs, Constants(root)).render(TEMPLATE.read_text(encoding="utf-8"))
