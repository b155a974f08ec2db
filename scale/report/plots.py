"""Plot the measures of each sweep over its size, with the older and the newer commit in one figure."""

from __future__ import annotations

from math import ceil
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from scale.report.fits import Growth
from scale.report.measures import MEASURES
from scale.report.targets import DIMENSION_TARGETS
from scale.report.versions import SelectedRuns, Sweep

COLUMN_COUNT = 2  # columns of plots in one figure
PANEL_INCHES = (3.6, 2.5)  # width and height of one measure's plot
MIN_LOG_SCALE_RATIO = 10.0  # highest to lowest cost; up to this ratio the cost axis is linear, from 0
COLORS = {"before": "#b3541e", "after": "#1f5f8b"}
CURVE_POINTS = 40  # points at which a fitted curve is drawn
STYLE: dict[Any, Any] = {
    "svg.hashsalt": "scale",
    "svg.fonttype": "none",
    "font.size": 7.0,
    "path.simplify": False,
}


def _draw_growth(axes: Axes, growth: Growth, color: str, label: str, target: float) -> None:
    """Draw the measured points, and the better fit up to the target."""
    axes.plot(growth.sizes, growth.costs, "o", markersize=3, color=color, label=label)
    sizes = np.geomspace(max(growth.sizes[0], 1e-9), max(target, growth.sizes[-1]), CURVE_POINTS)
    axes.plot(sizes, [growth.fitted_cost(float(size)) for size in sizes], "-", linewidth=0.8, color=color)


def _draw_panel(axes: Axes, sweep: Sweep, measure: str) -> None:
    """Draw one measure of a sweep."""
    target = DIMENSION_TARGETS.get(sweep.dimension, 0.0)
    costs: list[float] = []
    for version, run in sweep.runs_by_version().items():
        growth = run.fit_growth(measure)
        if growth is not None:
            _draw_growth(axes, growth, COLORS[version], f"{version}, {run.commit_label}", target)
            costs += [*growth.costs, growth.fitted_cost(max(target, growth.sizes[-1]))]
    description = MEASURES[measure]
    axes.set_title(description.label + (f", {description.unit}" if description.unit else ""), fontsize=7)
    axes.set_xscale("log")
    if costs and min(costs) > 0 and max(costs) > MIN_LOG_SCALE_RATIO * min(costs):
        axes.set_yscale("log")
    else:
        axes.set_ylim(0, 1.5 * max(costs, default=0.0) or 1.0)
    axes.minorticks_off()
    if target > 0:
        axes.axvline(target, color="#888888", linewidth=0.6, linestyle=":")


def plot_sweep(sweep: Sweep, folder: Path) -> Path | None:
    """Write the figure of a sweep and return its path; None if no measure has enough points."""
    measures = [
        name
        for name, description in MEASURES.items()
        if sweep.dimension in description.sweeps and sweep.after.fit_growth(name) is not None
    ]
    if not measures:
        return None
    rows = ceil(len(measures) / COLUMN_COUNT)
    with matplotlib.rc_context(STYLE):
        size = (PANEL_INCHES[0] * COLUMN_COUNT, PANEL_INCHES[1] * rows)
        figure = Figure(figsize=size, layout="constrained")
        grid = figure.subplots(rows, COLUMN_COUNT, squeeze=False)
        panels = list(grid.flat)
        for axes, measure in zip(panels, measures, strict=False):
            _draw_panel(axes, sweep, measure)
        for axes in panels[len(measures) :]:
            axes.set_visible(False)
        panels[0].legend(fontsize=6)
        figure.supxlabel(f"{sweep.dimension.replace('_', ' ')} (dotted: the target)")
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"{sweep.name}.svg"
        figure.savefig(path, metadata={"Date": None, "Creator": None})
    return path


def plot_all(selected: SelectedRuns, folder: Path) -> list[Path]:
    """Write the figures of all sweeps and return their paths."""
    paths = [plot_sweep(sweep, folder) for sweep in selected.sweeps.values()]
    return [path for path in paths if path is not None]
