"""The table of the load that all ingresses together put on a backend."""

from __future__ import annotations

from scale.report import model
from scale.report.figures import Figure, computed_figure
from scale.report.loads import (
    BACKEND_DESCRIPTORS_DIVISOR,
    MAX_DESCRIPTORS,
    MIN_SUBSET_BACKENDS,
    RESERVED_DESCRIPTORS,
    SUBSET_FACTOR,
)
from scale.report.roles.sources import Sources
from scale.report.rows import NOT_MEASURED, Cell, Row, same_cells
from scale.report.targets import SITE, TARGETS

FIXED_SUBSET = model.fixed_subset(MIN_SUBSET_BACKENDS, TARGETS.backends)
SCALED_SUBSET = model.scaled_subset(MIN_SUBSET_BACKENDS, SUBSET_FACTOR, TARGETS.backends, TARGETS.ingresses)
BACKENDS_LEFT = TARGETS.backends - TARGETS.zone_backends  # backends that remain while a zone is lost
# File descriptors that one ingress may use for connections to backends.
BACKEND_DESCRIPTORS = (MAX_DESCRIPTORS - RESERVED_DESCRIPTORS) / BACKEND_DESCRIPTORS_DIVISOR


def rows(sources: Sources) -> list[Row]:
    """Return the rows of the table; none of them needs a measurement."""
    del sources
    return [
        *_subset_rows(),
        *_load_rows(),
        Row(
            "connections, mean, if each ingress uses all it may",
            *same_cells(computed_figure(BACKEND_DESCRIPTORS * TARGETS.ingresses / TARGETS.backends)),
        ),
        Row("probes", *same_cells(computed_figure(0.0), "/s")),
        Row("processor time and memory for connections", *NOT_MEASURED),
    ]


def _preferring_ingresses(subset: float) -> Figure:
    return computed_figure(model.ingresses_per_backend(subset, TARGETS.backends, TARGETS.ingresses))


def _covered_share(subset: float) -> Figure:
    return computed_figure(model.covered_share(subset, TARGETS.backends, TARGETS.ingresses))


def _subset_rows() -> list[Row]:
    fixed_cells = same_cells(_covered_share(FIXED_SUBSET), "%", 100.0)
    scaled_cells = same_cells(_covered_share(SCALED_SUBSET), "%", 100.0)
    return [
        Row(
            "ingresses that prefer it: subset of fixed size", *same_cells(_preferring_ingresses(FIXED_SUBSET))
        ),
        Row(
            "ingresses that prefer it: subset that follows the fleet",
            *same_cells(_preferring_ingresses(SCALED_SUBSET)),
        ),
        Row("backends preferred by anyone: fixed size, at most", *fixed_cells),
        Row("backends preferred by anyone: follows the fleet, at most", *scaled_cells),
    ]


def _load_rows() -> list[Row]:
    attempts_per_backend = model.attempts_in_flight(TARGETS.requests_per_s, SITE.work_s) / TARGETS.backends
    zone_lost_attempts_per_backend = TARGETS.requests_per_s * SITE.work_s / BACKENDS_LEFT
    return [
        Row(
            "requests",
            Cell(computed_figure(TARGETS.requests_per_s / TARGETS.backends), "/s"),
            Cell(computed_figure(TARGETS.requests_per_s / BACKENDS_LEFT), "/s", note="a zone lost"),
        ),
        Row(
            "attempts open at a time, mean",
            Cell(computed_figure(attempts_per_backend)),
            Cell(computed_figure(zone_lost_attempts_per_backend), note="a zone lost"),
        ),
    ]
