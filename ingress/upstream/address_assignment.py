"""Assignment of each address to one backend, where the endpoint list shows several at it.

A machine may get the address of one that has vanished.  Discovery lists the new backend before it notices the
end of the old one, so for some seconds the list shows both.  Whatever is sent to the address reaches the new
one, which may be in another cell and knows nothing of the requests of the old one.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from ingress.interface import Backend, Readiness
from ingress.network.addresses import Address, AddressBook
from ingress.upstream.address_owners import AddressOwners


def assign_listed_addresses(
    owners: AddressOwners, known: AddressBook, backends: tuple[Backend, ...], listed: AddressBook
) -> set[str]:
    """Assign the addresses of a complete list; return the ids of the backends whose addresses others have.

    `known` holds the addresses before the list, and `listed` those in it.
    """
    shared_addresses = listed.find_shared_addresses()
    if not shared_addresses:
        owners.forget_owners()
        return set()
    backends_by_address: defaultdict[Address, dict[str, Backend]] = defaultdict(dict)
    for backend in backends:
        address = shared_addresses.get(backend.id)
        if address is not None:
            backends_by_address[address][backend.id] = backend
    owner_ids_by_address = {
        address: _find_owners(owners, known, address, sharing)
        for address, sharing in backends_by_address.items()
    }
    owners.forget_owners()
    superseded_ids: set[str] = set()
    for address, owner_ids in owner_ids_by_address.items():
        others = backends_by_address[address].keys() - owner_ids
        owners.set_owners(address, owner_ids, others)
        superseded_ids |= others
    return superseded_ids


def _find_owners(
    owners: AddressOwners, known: AddressBook, address: Address, sharing: Mapping[str, Backend]
) -> set[str]:
    """Return the ids of the backends that came up last at the address; several if nothing tells them apart.

    Those are the ones that were not listed there before.  If this does not tell, they are the present owners,
    or else the ones with the latest start: the clock that tells the starts may have been set back in between.
    """

    def get_rank(backend_id: str) -> tuple[bool, bool, bool, float]:
        return (
            not owners.is_superseded(address, backend_id),
            known.get(backend_id) != address,
            owners.is_owner(address, backend_id),
            sharing[backend_id].started,
        )

    ranks = {backend_id: get_rank(backend_id) for backend_id in sharing}
    highest_rank = max(ranks.values())
    return {backend_id for backend_id, rank in ranks.items() if rank == highest_rank}


def claim_changed_addresses(
    owners: AddressOwners,
    known: AddressBook,
    backends: tuple[Backend, ...],
    changed: Mapping[str, Address],
) -> set[str]:
    """Assign the addresses at which changed entries show backends that were not there before.

    Return the ids of the backends that have no address now, as others have theirs.  The cost depends on the
    number of entries.  `known` holds the addresses before the change, and `changed` those in the entries.
    """
    entries = {backend.id: backend for backend in backends if backend.readiness is not Readiness.REMOVED}
    superseded_ids = {
        backend_id for backend_id in entries if owners.is_superseded(changed[backend_id], backend_id)
    }
    newcomers = []
    for backend_id in entries.keys() - superseded_ids:
        known_address = known.get(backend_id)
        if known_address != changed[backend_id]:
            newcomers.append(backend_id)
            if known_address is not None:
                owners.release(known_address, backend_id)
    for backend_id in sorted(newcomers, key=lambda backend_id: (entries[backend_id].started, backend_id)):
        address = changed[backend_id]
        previous_ids = owners.claim(address, backend_id)
        # A backend that moves away in the same change keeps its new address.
        superseded_ids |= {other_id for other_id in previous_ids if changed.get(other_id, address) == address}
    return superseded_ids
