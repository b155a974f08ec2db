"""The table of the control machines that stand between discovery and the agents."""

from __future__ import annotations

from scale.report import model
from scale.report.evidence import Evidence
from scale.report.figures import Figure, computed_figure
from scale.report.loads import DAY_CHANGES_PER_S, RELEASE_SHARE, WORST_MINUTE_CHANGES_PER_S
from scale.report.roles.sources import BYTES_PER_MEGABYTE, Sources
from scale.report.rows import NOT_MEASURED, Cell, Row, same_cells
from scale.report.targets import SECONDS_PER_DAY, TARGETS

AGENTS_PER_MACHINE = model.agents_per_machine(TARGETS.ingresses, TARGETS.control_machines)
# Starts of ingresses per second.  On an ordinary day, they are the ingresses' part of all restarts; in the
# worst minute, a release restarts a tenth of all ingresses.
DAY_STARTS_PER_S = (
    TARGETS.restarts_per_day * TARGETS.ingresses / (TARGETS.ingresses + TARGETS.backends) / SECONDS_PER_DAY
)
RELEASE_STARTS_PER_S = model.restarts_in_release(TARGETS.ingresses, RELEASE_SHARE)


def rows(sources: Sources) -> list[Row]:
    """Return the rows of the table."""
    return [
        Row(
            "state: agents served by each",
            *same_cells(computed_figure(AGENTS_PER_MACHINE)),
            f"{TARGETS.control_machines:g} machines",
        ),
        Row(
            "messages out of each",
            Cell(computed_figure(DAY_CHANGES_PER_S * AGENTS_PER_MACHINE), "/s"),
            Cell(
                computed_figure(WORST_MINUTE_CHANGES_PER_S * AGENTS_PER_MACHINE),
                "/s",
                note="unless several changes share a message",
            ),
        ),
        *_traffic_rows(sources.evidence),
        Row("processor time and memory", *NOT_MEASURED),
    ]


def _traffic_rows(evidence: Evidence) -> list[Row]:
    change_bytes = evidence.estimate_at_target("backends", "change_bytes")
    complete_list_bytes = evidence.estimate_at_target("backends", "list_bytes")
    return [
        Row(
            "changes out of each",
            Cell(_changes_mb_per_s(change_bytes, DAY_CHANGES_PER_S), "MB/s"),
            Cell(_changes_mb_per_s(change_bytes, WORST_MINUTE_CHANGES_PER_S), "MB/s"),
        ),
        Row(
            "complete lists out of each",
            Cell(_lists_mb_per_s(complete_list_bytes, DAY_STARTS_PER_S), "MB/s"),
            Cell(
                _lists_mb_per_s(complete_list_bytes, RELEASE_STARTS_PER_S),
                "MB/s",
                note="a tenth of the ingresses restarted in a minute",
            ),
        ),
    ]


def _changes_mb_per_s(change_bytes: Figure, changes_per_s: float) -> Figure:
    return change_bytes.map(
        lambda byte_count: byte_count * changes_per_s * AGENTS_PER_MACHINE / BYTES_PER_MEGABYTE
    )


def _lists_mb_per_s(list_bytes: Figure, starts_per_s: float) -> Figure:
    def megabytes_per_machine(byte_count: float) -> float:
        bytes_per_s = model.complete_lists_bytes_per_s(starts_per_s, byte_count, TARGETS.control_machines)
        return bytes_per_s / BYTES_PER_MEGABYTE

    return list_bytes.map(megabytes_per_machine)
