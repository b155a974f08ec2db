"""The arithmetic of the capacity page: pure functions, with the units in their names or docstrings.

Nothing here is measured; measured values are passed as arguments.
"""

from __future__ import annotations

from math import ceil

HASH_BITS = 32  # width of the checksum that identifies a tenant's count


def per_ingress(total: float, ingresses: float) -> float:
    """Return one ingress's part, in the unit of `total`, of what is spread evenly over all ingresses."""
    return total / ingresses


def fixed_subset(size: float, backends: float) -> float:
    """Return the number of backends that an ingress prefers if the size of its subset is constant."""
    return min(size, backends)


def scaled_subset(min_size: float, factor: float, backends: float, ingresses: float) -> float:
    """Return the number of backends that an ingress prefers if its subset grows with the fleet."""
    return min(backends, max(min_size, factor * backends / ingresses))


def ingresses_per_backend(subset: float, backends: float, ingresses: float) -> float:
    """Return the mean number of ingresses that prefer a backend."""
    return subset * ingresses / backends


def covered_share(subset: float, backends: float, ingresses: float) -> float:
    """Return the largest possible share of the backends that at least one ingress prefers (0 to 1)."""
    return min(1.0, ingresses_per_backend(subset, backends, ingresses))


def covered_backends(subset: float, ingresses: float) -> float:
    """Return the number of backends above which subsets of this size cannot include them all."""
    return subset * ingresses


def attempts_in_flight(requests_per_s: float, work_s: float) -> float:
    """Return the mean number of attempts in flight by Little's law, if each takes `work_s` seconds."""
    return requests_per_s * work_s


def core_share(events_per_s: float, cpu_us: float) -> float:
    """Return the share of a core (1 is a whole core) that events of `cpu_us` microseconds each take."""
    return events_per_s * cpu_us / 1e6


def allowed_cpu_us(share: float, events_per_s: float) -> float:
    """Return the microseconds that each event may take so that all together keep to a share of a core."""
    return share * 1e6 / events_per_s


def list_changes_per_day(restarts: float, failures: float) -> float:
    """Return the changes of the backend list per day.

    A restart causes three changes (draining, gone, back), a failure two (gone, back).
    """
    return 3.0 * restarts + 2.0 * failures


def zone_changes_per_s(backends: float, seconds: float = 60.0) -> float:
    """Return the list changes per second while a zone of `backends` leaves or returns within `seconds`."""
    return backends / seconds


def change_bytes_per_s(changes_per_s: float, bytes_per_change: float) -> float:
    """Return the bytes per second sent to one ingress that receives every change."""
    return changes_per_s * bytes_per_change


def watch_calls_per_s(ingresses: float, wait_ms: float, changes_per_s: float = 0.0) -> float:
    """Return the watch calls per second at all agents together.

    A watch is answered at a change or when its wait ends, and each answer is followed by the next call.
    """
    return ingresses * max(1000.0 / wait_ms, changes_per_s)


def agents_per_machine(ingresses: float, machines: float) -> float:
    """Return the number of agents that each control machine serves."""
    return ingresses / machines


def restarts_in_release(ingresses: float, share: float, seconds: float = 60.0) -> float:
    """Return the ingresses that start per second while a share of them is restarted within `seconds`."""
    return ingresses * share / seconds


def complete_lists_bytes_per_s(starts_per_s: float, list_bytes: float, machines: float) -> float:
    """Return the bytes per second that each control machine sends if each start needs a complete list."""
    return starts_per_s * list_bytes / machines


def counter_calls_per_s(requests_per_s: float, calls_per_request: float) -> float:
    """Return the calls per second at the counter, all parts together."""
    return requests_per_s * calls_per_request


def shards_needed(calls_per_s: float, calls_per_shard: float) -> int:
    """Return the number of shards needed if each takes `calls_per_shard` calls per second."""
    return max(1, ceil(calls_per_s / calls_per_shard))


def max_requests_per_s(calls_per_s: float, calls_per_request: float) -> float:
    """Return the requests per second at which the counter reaches its capacity of `calls_per_s`."""
    return calls_per_s / calls_per_request


def tenant_slices(tenants: float, ingresses_per_tenant: float) -> float:
    """Return the number of pairs of a tenant and an ingress that serves it."""
    return tenants * ingresses_per_tenant


def lease_renewals_per_s(slices: float, busy_share: float, busy_term_s: float, calm_term_s: float) -> float:
    """Return the leases renewed per second, each at half of its term.

    `busy_share` is the share of tenants that have the shorter term.
    """
    return slices * (busy_share / (busy_term_s / 2) + (1 - busy_share) / (calm_term_s / 2))


def batches_per_s(ingresses: float, shards: float, period_s: float) -> float:
    """Return the calls per second if each ingress sends one batch to each shard per period."""
    return ingresses * shards / period_s


def call_time_ms(call_ms: float, one_way_ms: float) -> float:
    """Return the milliseconds from a call to its answer without queueing."""
    return call_ms + 2 * one_way_ms


def colliding_pairs(tenants: float, bits: float = HASH_BITS) -> float:
    """Return the expected number of pairs of tenants with equal checksums, if these are uniform."""
    return tenants * (tenants - 1) / 2 / float(2.0**bits)
