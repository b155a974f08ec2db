"""The table of the links between regions."""

from __future__ import annotations

from scale.report.figures import Figure, computed_figure
from scale.report.loads import DAY_CHANGES_PER_S, WORST_MINUTE_CHANGES_PER_S
from scale.report.roles.sources import BYTES_PER_MEGABYTE, Sources
from scale.report.rows import NOT_MEASURED, Cell, Row, same_cells
from scale.report.targets import TARGETS

# Share of all backends that are outside of a given region.
OTHER_REGIONS_SHARE = (TARGETS.regions - 1) / TARGETS.regions
DAY_CHANGES_FROM_OTHER_REGIONS_PER_S = DAY_CHANGES_PER_S * OTHER_REGIONS_SHARE


def rows(sources: Sources) -> list[Row]:
    """Return the rows of the table."""
    change_bytes = sources.evidence.estimate_at_target("backends", "change_bytes")
    return [
        Row(
            "changes into each region, from the others",
            Cell(computed_figure(DAY_CHANGES_FROM_OTHER_REGIONS_PER_S), "/s"),
            Cell(computed_figure(WORST_MINUTE_CHANGES_PER_S), "/s", note="the zone stands elsewhere"),
        ),
        *_traffic_rows(change_bytes),
        Row(
            "requests sent to another region, as backends are chosen today",
            *same_cells(computed_figure(TARGETS.requests_per_s * OTHER_REGIONS_SHARE), "/s"),
        ),
        Row("state, processor time and memory", *NOT_MEASURED),
    ]


def _traffic_rows(change_bytes: Figure) -> list[Row]:
    return [
        Row(
            "bytes, one copy for each region",
            Cell(
                change_bytes.map(lambda byte_count: byte_count * DAY_CHANGES_PER_S * OTHER_REGIONS_SHARE),
                "B/s",
            ),
            Cell(change_bytes.map(lambda byte_count: byte_count * WORST_MINUTE_CHANGES_PER_S), "B/s"),
        ),
        Row(
            "bytes, a copy for each ingress of a region",
            Cell(
                change_bytes.map(
                    lambda byte_count: _region_megabytes(byte_count * DAY_CHANGES_PER_S * OTHER_REGIONS_SHARE)
                ),
                "MB/s",
            ),
            Cell(
                change_bytes.map(
                    lambda byte_count: _region_megabytes(byte_count * WORST_MINUTE_CHANGES_PER_S)
                ),
                "MB/s",
            ),
        ),
    ]


def _region_megabytes(copy_bytes: float) -> float:
    """Return the megabytes that a region receives if each ingress gets a copy of `copy_bytes` bytes."""
    return copy_bytes * TARGETS.ingresses / TARGETS.regions / BYTES_PER_MEGABYTE
