"""A consistent hash ring: names sorted by a hash that is the same in every gateway."""

from array import array
from bisect import bisect_left
from zlib import crc32

MAX_SINGLE_CHANGES = 64  # for more names, one sort is cheaper than moving the array's tail for each of them
KNUTH_MULTIPLIER = 0x9E3779B1  # 2**32 over the golden ratio: moves neighbouring hashes far apart
HASH_MASK = 0xFFFFFFFF  # 32 bits


def compute_ring_hashes(name: str) -> tuple[int, int]:
    """Return two hashes of a name, for two rings on which the names are in unrelated orders."""
    first = crc32(name.encode())
    return first, first * KNUTH_MULTIPLIER & HASH_MASK


class HashRing:
    """Names sorted by hash.

    Inserting or removing one name costs a binary search and a move of the arrays' tails.
    """

    def __init__(self) -> None:
        self.hashes = array("L")
        """The hash of each name, in ascending order."""
        self.names: list[str] = []
        """The name at each index of `hashes`; names with equal hashes are sorted by name."""

    def find_index(self, hash_value: int, name: str) -> int:
        """Return the index of the name, or the index at which it would be inserted."""
        index = bisect_left(self.hashes, hash_value)
        while index < len(self.hashes) and self.hashes[index] == hash_value and self.names[index] < name:
            index += 1
        return index

    def update(self, removed: dict[str, int], added: dict[str, int]) -> None:
        """Remove names that are on the ring and add others; both arguments map names to hashes."""
        if len(removed) + len(added) > MAX_SINGLE_CHANGES:
            self._rebuild(removed, added)
        else:
            self._change_one_by_one(removed, added)

    def _rebuild(self, removed: dict[str, int], added: dict[str, int]) -> None:
        kept = (entry for entry in zip(self.hashes, self.names, strict=True) if entry[1] not in removed)
        entries = sorted([*kept, *((hash_value, name) for name, hash_value in added.items())])
        self.hashes = array("L", [hash_value for hash_value, _ in entries])
        self.names = [name for _, name in entries]

    def _change_one_by_one(self, removed: dict[str, int], added: dict[str, int]) -> None:
        for name, hash_value in removed.items():
            index = self.find_index(hash_value, name)
            del self.hashes[index]
            del self.names[index]
        for name, hash_value in added.items():
            index = self.find_index(hash_value, name)
            self.hashes.insert(index, hash_value)
            self.names.insert(index, name)

    def list_names_from(self, start: int, count: int) -> list[str]:
        """Return up to `count` different names from index `start` on, wrapping around the end."""
        count = min(count, len(self.names))
        until_end = self.names[start : start + count]
        return until_end + self.names[: count - len(until_end)]
