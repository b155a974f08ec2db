"""The limits of the design on the way to full size, in the order in which they are reached."""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt

from scale.report import model
from scale.report.constants import Constants
from scale.report.evidence import Evidence
from scale.report.figures import MISSING, Mark, computed_figure, format_number
from scale.report.limit import Limit
from scale.report.loads import (
    CONFIG_CHANGES_PER_S,
    DAY_CHANGES_PER_S,
    REQUESTS_PER_S,
    WORST_MINUTE_CHANGES_PER_S,
)
from scale.report.targets import DIMENSION_TARGETS, SITE, TARGETS

ZONE_LOSS_S = 60.0  # time within which all backends of a lost zone leave the list
MAX_COUNTER_WAIT_SHARE = 0.01  # share of the requests that may wait: the latency target is for 99 in 100
# Processor time that a list change may take on an ordinary day and in the worst minute.
MAX_DAY_CHANGE_CPU_US = model.allowed_cpu_us(TARGETS.control_core_share, DAY_CHANGES_PER_S)
MAX_WORST_MINUTE_CHANGE_CPU_US = model.allowed_cpu_us(TARGETS.control_core_share, WORST_MINUTE_CHANGES_PER_S)
# Processor time of a request at which the requests of an ingress use one whole core.
MAX_REQUEST_CPU_US = model.allowed_cpu_us(1.0, REQUESTS_PER_S)


@dataclass(frozen=True, slots=True)
class CpuAllowance:
    """The processor time that one kind of work may take."""

    label: str
    measure: str
    max_cpu_us: float  # processor time of one list change or request
    cause: str


CPU_ALLOWANCES = (
    CpuAllowance(
        "list changes while a zone leaves",
        "change_cpu_us",
        MAX_WORST_MINUTE_CHANGE_CPU_US,
        f"{format_number(MAX_WORST_MINUTE_CHANGE_CPU_US, 3)} µs a change at "
        f"{format_number(WORST_MINUTE_CHANGES_PER_S, 3)} a second",
    ),
    CpuAllowance(
        "list changes of an ordinary day",
        "change_cpu_us",
        MAX_DAY_CHANGE_CPU_US,
        f"{format_number(MAX_DAY_CHANGE_CPU_US, 3)} µs a change at "
        f"{format_number(DAY_CHANGES_PER_S, 3)} a second",
    ),
    CpuAllowance(
        "a request's processor time",
        "request_cpu_p50_us",
        MAX_REQUEST_CPU_US,
        f"{format_number(MAX_REQUEST_CPU_US, 3)} µs a request fill a core at "
        f"{format_number(REQUESTS_PER_S, 3)} a second",
    ),
    CpuAllowance(
        "a request's processor time, 99 in 100",
        "request_cpu_p99_us",
        TARGETS.added_latency_ms * 1e3,
        f"{TARGETS.added_latency_ms:g} ms may be added in all",
    ),
)


def limits_in_order(evidence: Evidence, constants: Constants) -> list[Limit]:
    """Return all limits in the order of the page's table.

    The limits that are reached on the way to the full size come first, the earliest at the top, then those
    that were not measured, then those that are reached past the full size or never.
    """
    limits = [
        *_missing_mechanism_limits(),
        _counter_call_limit(evidence),
        _counter_wait_limit(evidence),
        _complete_list_limit(evidence, constants),
        _zone_loss_traffic_limit(evidence),
        *_processor_time_limits(evidence, "backends"),
        *_processor_time_limits(evidence, "ingresses"),
        _memory_limit(evidence, "backends"),
        _memory_limit(evidence, "tenants"),
        _checksum_collision_limit(),
    ]
    return sorted(limits, key=lambda limit: (limit.is_past_target, limit.share_of_target))


def _measured_limit(
    evidence: Evidence, label: str, dimension: str, measure: str, max_value: float, cause: str
) -> Limit:
    """Return the limit that is reached when a measure exceeds `max_value`."""
    size = evidence.estimate_size_at_limit(dimension, measure, max_value)
    return Limit(label, size, dimension, DIMENSION_TARGETS[dimension], cause)


def _missing_mechanism_limits() -> list[Limit]:
    """Return the limits of features that the ingress lacks.

    The first configuration change, the second service and the second region reach them.
    """
    return [
        Limit(
            "configuration changes in force in a running ingress",
            computed_figure(1),
            "change a day",
            TARGETS.config_changes_per_day,
            "`reload` in `ingress/process/ingress.py` takes only the addresses of discovery and "
            "counter; all else waits for a restart",
        ),
        Limit(
            "services and routes",
            computed_figure(2),
            "services",
            TARGETS.services,
            "`Request` in `ingress/interface/events.py` and `Backend` in `ingress/interface/endpoints.py` "
            "name neither; one list of backends serves every request",
        ),
        Limit(
            "regions",
            computed_figure(2),
            "regions",
            TARGETS.regions,
            "`Backend` in `ingress/interface/endpoints.py` has a zone and no region; the subset is drawn "
            "from all zones alike",
        ),
    ]


def _counter_call_limit(evidence: Evidence) -> Limit:
    """Return the limit on requests per second that the counter's call capacity sets."""
    calls_per_request = evidence.estimate_at_target("ingresses", "counter_calls_per_request")
    counter_calls_per_s = (SITE.counter_calls_low + SITE.counter_calls_high) / 2
    max_requests_per_s = calls_per_request.map(
        lambda calls: model.max_requests_per_s(counter_calls_per_s, calls) if calls > 0 else float("inf")
    )
    return Limit(
        "calls at the counter",
        max_requests_per_s if max_requests_per_s.value else MISSING,
        "requests/s, entire fleet",
        TARGETS.requests_per_s,
        f"one counter for all, {SITE.counter_calls_low:g} to {SITE.counter_calls_high:g} calls a "
        "second; a call for each request that the slice does not cover, `ingress/counter/client.py`",
    )


def _counter_wait_limit(evidence: Evidence) -> Limit:
    """Return the limit on the share of requests that wait for the counter."""
    return _measured_limit(
        evidence,
        "1 request in 100 waits for the counter",
        "ingresses",
        "counter_wait_share",
        MAX_COUNTER_WAIT_SHARE,
        "a request waits for its own call's answer, up to the counter's time-out",
    )


def _complete_list_limit(evidence: Evidence, constants: Constants) -> Limit:
    """Return the limit on the size of a complete list; it is never reached if the code has no such bound."""
    label = "a complete list in one answer"
    max_bytes = constants.get_figure("DEFAULT_MAX_BODY_BYTES")
    cause = constants.describe("DEFAULT_MAX_BODY_BYTES") + ", or more where the memory limit allows"
    if max_bytes.mark is Mark.MISSING:
        return Limit(label, None, "backends", TARGETS.backends, cause)
    return _measured_limit(evidence, label, "backends", "list_bytes", max_bytes.value, cause)


def _zone_loss_traffic_limit(evidence: Evidence) -> Limit:
    """Return the limit on the backends of a zone that is lost within ZONE_LOSS_S.

    Each ingress receives the change of every backend, and its control traffic is limited.
    """
    change_bytes = evidence.estimate_at_target("backends", "change_bytes")
    backend_count = change_bytes.map(
        lambda byte_count: max(0.0, TARGETS.control_bytes_per_s / max(byte_count, 1.0) - CONFIG_CHANGES_PER_S)
        * ZONE_LOSS_S
    )
    return Limit(
        "control traffic while a zone leaves",
        backend_count,
        "backends of a zone",
        TARGETS.zone_backends,
        f"{TARGETS.control_bytes_per_s:,.0f} B/s for an ingress; each gets the changes of every backend",
    )


def _processor_time_limits(evidence: Evidence, dimension: str) -> list[Limit]:
    """Return the limits on the processor time of list changes and requests over one dimension."""
    return [
        _measured_limit(
            evidence,
            f"{allowance.label}, over {dimension}",
            dimension,
            allowance.measure,
            allowance.max_cpu_us,
            allowance.cause,
        )
        for allowance in CPU_ALLOWANCES
    ]


def _memory_limit(evidence: Evidence, dimension: str) -> Limit:
    """Return the limit on resident memory over one dimension."""
    return _measured_limit(
        evidence,
        f"resident memory of the module's state, over {dimension}",
        dimension,
        "resident_mb",
        TARGETS.control_mb,
        f"{TARGETS.control_mb:g} MB for all control of an ingress",
    )


def _checksum_collision_limit() -> Limit:
    """Return the number of tenants at which one pair of them is expected to share a count, as a limit."""
    tenants = sqrt(2.0 * 2.0**model.HASH_BITS)
    return Limit(
        "each tenant has a count of its own",
        computed_figure(tenants),
        "tenants",
        TARGETS.tenants,
        "counts are named by a 32-bit checksum, `Customer.hash` of the decision module",
    )
