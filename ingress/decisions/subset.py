"""Deterministic subsetting: each gateway prefers some backends, its subset.

All gateways compute the same subsets without exchanging messages.  The backends are placed on two hash rings,
each with an order of its own.  On each ring the gateways have evenly spaced slots, and a gateway prefers the
backends that follow its slot: half of its subset comes from each ring.  With a single ring, two gateways with
neighbouring slots would share their whole subset, and the loss of its backends would affect both.
"""

from collections.abc import Iterable
from math import ceil

import ingress.interface as api
from ingress.decisions.hash_ring import HashRing, compute_ring_hashes

SUBSET_SIZE = 12  # backends: few enough to observe each of them often, enough to tolerate the loss of some
# Lower bound of the mean number of gateways that prefer a backend; subsets grow if there are few gateways.
MIN_GATEWAYS_PER_BACKEND = 2
RESERVE_SIZE = 244  # further candidates, used when the subset is full or down


class SubsetRing:
    """One ring: backends sorted by hash, and the evenly spaced slots of the gateways."""

    def __init__(self, gateway_hashes: list[int]) -> None:
        """Create a ring without backends; `gateway_hashes` holds each gateway's hash by its index."""
        self.backends = HashRing()
        """Ids of the ready backends."""
        self.gateway_count = len(gateway_hashes)
        """Number of gateways in the fleet."""
        self.gateway_by_slot = sorted(range(self.gateway_count), key=gateway_hashes.__getitem__)
        """Index of the gateway in each slot."""
        self.slot_by_gateway = {gateway: slot for slot, gateway in enumerate(self.gateway_by_slot)}
        """Slot of each gateway, by the gateway's index."""

    def find_first_backend_index(self, gateway: int) -> int:
        """Return the index of the first backend that follows the slot of the gateway with index `gateway`."""
        return self.slot_by_gateway[gateway] * len(self.backends.names) // self.gateway_count

    def find_gateways_starting_at(self, index: int) -> list[int]:
        """Return the indices of the gateways whose first backend is the one at `index`."""
        backend_count = len(self.backends.names)
        # A slot starts at `index` if slot * backend_count // gateway_count == index; -(-a // b) rounds up.
        first_slot, end_slot = (
            -(-bound * self.gateway_count // backend_count) for bound in (index, index + 1)
        )
        return self.gateway_by_slot[first_slot:end_slot]


class Subsetting:
    """The two rings of all ready backends, and the subsets that follow from them."""

    def __init__(self, settings: api.Settings) -> None:
        self.instance_index = settings.instance_index
        """Index of this gateway in its fleet."""
        self.instance_count = settings.instance_count
        """Number of gateways in the fleet."""
        hashes = [compute_ring_hashes(str(gateway)) for gateway in range(settings.instance_count)]
        self.rings = (
            SubsetRing([first for first, _ in hashes]),
            SubsetRing([second for _, second in hashes]),
        )
        """Both rings; they hold the same backends in different orders."""
        self.gateway_counts: dict[str, int] = {}
        """Cached results of `count_gateways_preferring` since the last update, by backend id."""

    @property
    def backend_ids(self) -> list[str]:
        """Ids of all ready backends, in the order of the first ring."""
        return self.rings[0].backends.names

    def update(self, removed_ids: Iterable[str], added_ids: Iterable[str]) -> None:
        """Remove backends that are no longer ready from both rings, and add those that became ready."""
        removed_hashes = {backend_id: compute_ring_hashes(backend_id) for backend_id in removed_ids}
        added_hashes = {backend_id: compute_ring_hashes(backend_id) for backend_id in added_ids}
        for ring_index, ring in enumerate(self.rings):
            ring.backends.update(
                {backend_id: hashes[ring_index] for backend_id, hashes in removed_hashes.items()},
                {backend_id: hashes[ring_index] for backend_id, hashes in added_hashes.items()},
            )
        self.gateway_counts.clear()

    def compute_subset(self) -> list[str]:
        """Return the ids of the backends that this gateway prefers."""
        first_size, second_size = self._compute_sizes_by_ring()
        size = first_size + second_size
        on_first, on_second = self._find_ids_after_slot(size)
        return list(dict.fromkeys(on_first[:first_size] + on_second))[:size]

    def compute_reserve(self, subset_ids: list[str]) -> list[str]:
        """Return the ids of the backends that follow the subset on the rings, taken from both in turn."""
        ids_by_ring = self._find_ids_after_slot(len(subset_ids) + RESERVE_SIZE)
        alternating_ids = (backend_id for pair in zip(*ids_by_ring, strict=True) for backend_id in pair)
        return list(dict.fromkeys([*subset_ids, *alternating_ids]))[
            len(subset_ids) : len(subset_ids) + RESERVE_SIZE
        ]

    def count_gateways_preferring(self, backend_id: str) -> int:
        """Return how many gateways have the ready backend in their subset, and cache the result."""
        if backend_id not in self.gateway_counts:
            self.gateway_counts[backend_id] = self._compute_gateway_count(backend_id)
        return self.gateway_counts[backend_id]

    def _compute_sizes_by_ring(self) -> tuple[int, int]:
        """Return how many backends of a subset come from the first ring and from the second."""
        backend_count = len(self.backend_ids)
        size = min(
            max(SUBSET_SIZE, ceil(MIN_GATEWAYS_PER_BACKEND * backend_count / self.instance_count)),
            backend_count,
        )
        return size // 2, size - size // 2

    def _find_ids_after_slot(self, count: int) -> list[list[str]]:
        """Return for each ring the ids of up to `count` backends that follow this gateway's slot."""
        return [
            ring.backends.list_names_from(ring.find_first_backend_index(self.instance_index), count)
            for ring in self.rings
        ]

    def _compute_gateway_count(self, backend_id: str) -> int:
        """Count the gateways that have the backend in their subset.

        Only the gateways whose slots are at most a subset's size before the backend are examined.
        """
        first_size, second_size = self._compute_sizes_by_ring()
        if first_size + second_size == len(self.backend_ids):
            return self.instance_count
        first_index, second_index = (
            ring.backends.find_index(hash_value, backend_id)
            for ring, hash_value in zip(self.rings, compute_ring_hashes(backend_id), strict=True)
        )
        gateways = self._find_gateways_by_first_ring(first_index, first_size)
        return len(gateways | self._find_gateways_by_second_ring(second_index, first_size, second_size))

    def _find_gateways_by_first_ring(self, index: int, size: int) -> set[int]:
        """Return the gateways that select the backend at `index` of the first ring from that ring."""
        ring = self.rings[0]
        backend_count = len(self.backend_ids)
        return {
            gateway
            for distance in range(size)
            for gateway in ring.find_gateways_starting_at((index - distance) % backend_count)
        }

    def _find_gateways_by_second_ring(self, index: int, first_size: int, second_size: int) -> set[int]:
        """Return the gateways that select the backend at `index` of the second ring from that ring.

        On the second ring a gateway skips the backends that it already selects from the first ring, and
        selects as many further ones instead.
        """
        first, second = self.rings
        backend_count = len(self.backend_ids)
        gateways: set[int] = set()
        passed_indices: list[int] = []  # on the first ring, of the backends from `start` to before `index`
        for distance in range(first_size + second_size):
            start = (index - distance) % backend_count
            for gateway in second.find_gateways_starting_at(start):
                first_start = first.find_first_backend_index(gateway)
                skipped_count = sum(
                    (passed_index - first_start) % backend_count < first_size
                    for passed_index in passed_indices
                )
                if distance - skipped_count < second_size:
                    gateways.add(gateway)
            preceding_id = second.backends.names[start - 1]
            passed_indices.append(
                first.backends.find_index(compute_ring_hashes(preceding_id)[0], preceding_id)
            )
        return gateways
