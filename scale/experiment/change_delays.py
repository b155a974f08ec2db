"""The delay from a change of the endpoint list until the ingresses act on it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import numpy as np

from scale.experiment.messages import Incarnation
from scale.standins.registry import PublishedChange

IN_FORCE_LIMIT_S = 4.0  # time within which every ingress is to act on a change


@dataclass(frozen=True, slots=True)
class ChangeDelays:
    """The delays of all changes at all ingresses."""

    delays: list[float]  # in seconds
    missing_count: int  # pairs of a change and an ingress that did not act on it
    in_force_share: float  # share of the changes that all ingresses acted on in time


@dataclass(slots=True)
class _SingleChangeDelays:
    """The delays of one change at all ingresses."""

    delays: list[float] = field(default_factory=list)  # in seconds
    missing_count: int = 0

    @property
    def is_in_time(self) -> bool:
        return not self.missing_count and all(delay <= IN_FORCE_LIMIT_S for delay in self.delays)


def measure_change_delays(
    published_changes: Iterable[PublishedChange], incarnations: Sequence[Incarnation], observed_until: float
) -> ChangeDelays:
    """Return the delays of all published changes at all incarnations of the ingresses.

    A change is expected at each incarnation that runs when the change is published.  An incarnation that
    ended before it acted on the change is left out.  One that ran until `observed_until` without acting on
    the change counts as missing.
    """
    delays_by_change = [
        _measure_delays_of(change, incarnations, observed_until) for change in published_changes
    ]
    in_time_count = sum(change.is_in_time for change in delays_by_change)
    return ChangeDelays(
        delays=[delay for change in delays_by_change for delay in change.delays],
        missing_count=sum(change.missing_count for change in delays_by_change),
        in_force_share=in_time_count / len(delays_by_change) if delays_by_change else 1.0,
    )


def _measure_delays_of(
    change: PublishedChange, incarnations: Sequence[Incarnation], observed_until: float
) -> _SingleChangeDelays:
    result = _SingleChangeDelays()
    for incarnation in incarnations:
        ended_at = observed_until if incarnation.ended is None else incarnation.ended
        if not incarnation.started <= change.published_at < ended_at:
            continue
        acted_at = _find_acted_at(incarnation, change)
        if acted_at is not None:
            result.delays.append(acted_at - change.published_at)
        elif ended_at >= observed_until:
            result.missing_count += 1
    return result


def _find_acted_at(incarnation: Incarnation, change: PublishedChange) -> float | None:
    """Return when an ingress first acted on a change or on a later one, or None if it never did."""
    return next(
        (
            acted_at
            for version, acted_at in incarnation.acted
            if version >= change.version and acted_at >= change.published_at
        ),
        None,
    )


def change_measures(delays: ChangeDelays, prefix: str = "") -> dict[str, float]:
    """Return the measures of the delays by name; `prefix` is put before each name."""
    measures = {
        "change_missing": float(delays.missing_count),
        "change_in_force_4s_share": delays.in_force_share,
    }
    if delays.delays:
        p50, p99 = np.percentile(delays.delays, [50, 99])
        measures |= {
            "change_acted_p50_s": float(p50),
            "change_acted_p99_s": float(p99),
            "change_acted_max_s": max(delays.delays),
        }
    return {prefix + name: value for name, value in measures.items()}
