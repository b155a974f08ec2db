"""Which backend an address belongs to, after another one was listed at it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from ingress.network.addresses import Address

MAX_OWNERS = 8192  # bounds the memory; the addresses that were claimed first are forgotten first


@dataclass(slots=True)
class _Ownership:
    """The backends at an address, and those that had it before them and are perhaps still listed at it."""

    owner_ids: set[str]  # several if the list does not tell which of them came up last
    superseded_ids: set[str]


class AddressOwners:
    """The owners of addresses at which the list showed more than one backend.

    A process that comes up at the address of one that has gone is listed under an id of its own, perhaps
    before the list removes the other.
    """

    __slots__ = ("_contacted_ids", "_ownerships")

    def __init__(self) -> None:
        """Create an index without addresses."""
        self._ownerships: OrderedDict[Address, _Ownership] = OrderedDict()
        self._contacted_ids: dict[Address, set[str]] = {}  # backends that attempts were sent to

    def is_owner(self, address: Address, backend_id: str) -> bool:
        """Return whether the backend is known to have the address."""
        ownership = self._ownerships.get(address)
        return ownership is not None and backend_id in ownership.owner_ids

    def belongs_to_other(self, address: Address, backend_id: str) -> bool:
        """Return whether another backend than this one has the address."""
        ownership = self._ownerships.get(address)
        return ownership is not None and backend_id not in ownership.owner_ids

    def is_superseded(self, address: Address, backend_id: str) -> bool:
        """Return whether the backend had the address before its present owner, and was not removed since."""
        ownership = self._ownerships.get(address)
        return ownership is not None and backend_id in ownership.superseded_ids

    def claim(self, address: Address, backend_id: str) -> set[str]:
        """Make the backend the owner of the address; return the others that are known to have had it.

        These are the previous owner and the backends that attempts were sent to there.
        """
        previous = self._ownerships.pop(address, None)
        superseded_ids = set(self._contacted_ids.get(address, ()))
        if previous is not None:
            superseded_ids |= previous.owner_ids | previous.superseded_ids
        superseded_ids.discard(backend_id)
        self.set_owners(address, {backend_id}, superseded_ids)
        return superseded_ids

    def set_owners(self, address: Address, owner_ids: Iterable[str], superseded_ids: Iterable[str]) -> None:
        """Record which backends have the address, and which had it before them."""
        self._ownerships[address] = _Ownership(set(owner_ids), set(superseded_ids))
        self._ownerships.move_to_end(address)
        if len(self._ownerships) > MAX_OWNERS:
            self._ownerships.popitem(last=False)

    def add_contacted(self, address: Address, backend_id: str) -> None:
        """Record that attempts are sent to the backend at the address."""
        self._contacted_ids.setdefault(address, set()).add(backend_id)

    def remove_contacted(self, address: Address, backend_id: str) -> None:
        """Record that no more attempts are sent to the backend at the address."""
        ids = self._contacted_ids.get(address)
        if ids is not None:
            ids.discard(backend_id)
            if not ids:
                del self._contacted_ids[address]

    def release(self, address: Address, backend_id: str) -> None:
        """Record that the list no longer shows the backend at the address."""
        self.remove_contacted(address, backend_id)
        ownership = self._ownerships.get(address)
        if ownership is None:
            return
        ownership.owner_ids.discard(backend_id)
        ownership.superseded_ids.discard(backend_id)
        if not ownership.owner_ids:
            del self._ownerships[address]

    def forget_owners(self) -> None:
        """Forget all owners, as a complete list is newer than the changes before it."""
        self._ownerships.clear()
