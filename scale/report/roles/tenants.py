"""The table of routes, tenants and their configuration."""

from __future__ import annotations

from scale.report import model
from scale.report.figures import MISSING, computed_figure
from scale.report.loads import CONFIG_CHANGES_PER_S, INGRESSES_PER_TENANT
from scale.report.roles.sources import BYTES_PER_MEGABYTE, Sources
from scale.report.rows import NOT_MEASURED, Cell, Row, same_cells
from scale.report.targets import TARGETS

TENANTS_PER_INGRESS = model.per_ingress(
    model.tenant_slices(TARGETS.tenants, INGRESSES_PER_TENANT), TARGETS.ingresses
)


def rows(sources: Sources) -> list[Row]:
    """Return the rows of the table."""
    tenant_bytes = sources.evidence.estimate_at_target("tenants", "memory_per_tenant_bytes")
    return [
        Row(
            "tenants that an ingress keeps",
            Cell(computed_figure(TENANTS_PER_INGRESS), note="each in a set of about 3 ingresses"),
            Cell(computed_figure(TARGETS.tenants), note="if the front keeps to no sets"),
        ),
        Row(
            "memory of tenants",
            Cell(
                tenant_bytes.map(lambda byte_count: byte_count * TENANTS_PER_INGRESS / BYTES_PER_MEGABYTE),
                "MB",
            ),
            Cell(
                tenant_bytes.map(lambda byte_count: byte_count * TARGETS.tenants / BYTES_PER_MEGABYTE), "MB"
            ),
            f"{TARGETS.control_mb:g} MB, all control",
        ),
        Row(
            "pairs of tenants that share one count",
            *same_cells(computed_figure(model.colliding_pairs(TARGETS.tenants))),
            "none",
        ),
        *_configuration_rows(),
        Row("routes, services: state, processor time, memory", *NOT_MEASURED),
    ]


def _configuration_rows() -> list[Row]:
    return [
        Row(
            "configuration changes",
            Cell(computed_figure(CONFIG_CHANGES_PER_S), "/s"),
            Cell(note="a release; its size is not documented"),
            f"in force within {TARGETS.change_in_force_s:g} s",
        ),
        Row(
            "configuration messages, all ingresses",
            Cell(computed_figure(CONFIG_CHANGES_PER_S * TARGETS.ingresses), "/s"),
            Cell(figure=MISSING),
        ),
    ]
