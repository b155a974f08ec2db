"""Which backend an address belongs to, after another one was listed at it."""

from __future__ import annotations

from collections import OrderedDict

from ingress.network.addresses import Address

MAX_OWNERS = 8192  # bounds the memory; the addresses that were claimed first are forgotten first


class AddressOwners:
    """The backends that changes of the list showed at addresses where they were not before.

    A process that comes up at the address of one that has gone is listed under an id of its own, perhaps
    before the list removes the other.
    """

    __slots__ = ("_contacted_ids", "_owners")

    def __init__(self) -> None:
        """Create an index without addresses."""
        self._owners: OrderedDict[Address, str] = OrderedDict()
        self._contacted_ids: dict[Address, set[str]] = {}  # backends that attempts were sent to

    def belongs_to_other(self, address: Address, backend_id: str) -> bool:
        """Return whether another backend than this one owns the address."""
        return self._owners.get(address, backend_id) != backend_id

    def claim(self, address: Address, backend_id: str) -> set[str]:
        """Make the backend the owner of the address; return the others that attempts were sent to there."""
        self._owners.pop(address, None)
        self._owners[address] = backend_id
        if len(self._owners) > MAX_OWNERS:
            self._owners.popitem(last=False)
        return self._contacted_ids.get(address, set()) - {backend_id}

    def add_contacted(self, address: Address, backend_id: str) -> None:
        """Record that attempts are sent to the backend at the address."""
        self._contacted_ids.setdefault(address, set()).add(backend_id)

    def release(self, address: Address, backend_id: str) -> None:
        """Forget the backend at the address."""
        if self._owners.get(address) == backend_id:
            del self._owners[address]
        ids = self._contacted_ids.get(address)
        if ids is not None:
            ids.discard(backend_id)
            if not ids:
                del self._contacted_ids[address]

    def forget_owners(self) -> None:
        """Forget all owners, as a complete list is newer than the changes before it."""
        self._owners.clear()
