"""Endpoints of backends: the address of each, whether the backend is draining, and the idle connections."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ingress.interface import Backend, Readiness
from ingress.network.addresses import Address, AddressBook
from ingress.upstream.address_assignment import assign_listed_addresses, claim_changed_addresses
from ingress.upstream.address_owners import AddressOwners
from ingress.upstream.connection import BackendConnection


@dataclass(slots=True, eq=False)
class UpstreamEndpoint:
    """The endpoint of a backend that at least one attempt was sent to."""

    address: Address
    idle_connections: list[BackendConnection] = field(
        default_factory=list
    )  # the most recently used one is the last
    is_draining: bool = False  # also True after the removal; no attempt is written while this is True
    is_listed: bool = True  # False after the removal; if the backend is listed again, it gets a new endpoint

    def close_idle_connections(self) -> None:
        """Close the idle connections to this backend."""
        for connection in list(self.idle_connections):
            connection.close()


class EndpointTable:
    """The listed backends, and an endpoint for each backend that an attempt was sent to.

    A long list takes little memory, since a backend without attempts is only an entry of the address book.
    """

    def __init__(self) -> None:
        self.addresses = AddressBook()  # addresses of all listed backends
        self.draining_ids: set[str] = set()  # ids of the draining backends
        self.address_owners = AddressOwners()
        self.contacted_endpoints: dict[
            str, UpstreamEndpoint
        ] = {}  # by backend id; only backends that an attempt was sent to

    def find_or_create(self, backend_id: str) -> UpstreamEndpoint | None:
        """Return the backend's endpoint, which is created if there is none yet.

        Return None if the backend is not listed or is draining, or if its address belongs to another one now.
        """
        if backend_id in self.draining_ids or backend_id not in self.addresses:
            return None
        endpoint = self.contacted_endpoints.get(backend_id)
        if endpoint is None:
            address = self.addresses[backend_id]
            if self.address_owners.belongs_to_other(address, backend_id):
                return None
            self.address_owners.add_contacted(address, backend_id)
            endpoint = UpstreamEndpoint(address)
            self.contacted_endpoints[backend_id] = endpoint
        return endpoint

    def replace_list(self, backends: tuple[Backend, ...], addresses: Mapping[str, Address]) -> set[str]:
        """Apply a complete list: remove the backends that it does not contain.

        Return the ids of the backends whose addresses belong to others; they are treated as removed.
        """
        ready = Readiness.READY  # a local variable, since the loop over a long list reads it for each entry
        backends_to_apply = [backend for backend in backends if backend.readiness is not ready]
        if len(addresses) < len(backends):
            backends_to_apply = list(backends)  # an id has several entries; the last one applies
        listed = AddressBook.copy_of(addresses)
        for backend in backends_to_apply:
            if backend.readiness is Readiness.REMOVED:
                listed.discard(backend.id)
        superseded_ids = assign_listed_addresses(self.address_owners, self.addresses, backends, listed)
        for backend_id in superseded_ids:
            listed.discard(backend_id)
        for backend_id in [backend_id for backend_id in self.contacted_endpoints if backend_id not in listed]:
            self._remove_backend(backend_id)
        self.addresses = listed
        self.draining_ids.clear()
        self._apply_entries(backends_to_apply, addresses, superseded_ids)
        for backend_id in list(self.contacted_endpoints):
            self._refresh_endpoint(backend_id, self.addresses[backend_id])
        return superseded_ids

    def update_entries(self, backends: tuple[Backend, ...], addresses: Mapping[str, Address]) -> set[str]:
        """Apply changed entries; the cost depends on their number and not on the length of the list.

        Return the ids of the backends whose addresses belong to others now; they are treated as removed.
        """
        superseded_ids = claim_changed_addresses(self.address_owners, self.addresses, backends, addresses)
        for backend_id in superseded_ids:
            self._remove_backend(backend_id)
        self._apply_entries(backends, addresses, superseded_ids)
        return superseded_ids

    def _apply_entries(
        self, backends: Sequence[Backend], addresses: Mapping[str, Address], superseded_ids: set[str]
    ) -> None:
        for backend in backends:
            address = addresses[backend.id]
            if backend.readiness is Readiness.REMOVED:
                known_address = self.addresses.get(backend.id, address)
                self._remove_backend(backend.id)
                for released_address in {address, known_address}:
                    self.address_owners.release(released_address, backend.id)
            elif backend.id not in superseded_ids:
                self._update_entry(backend, address)

    def _update_entry(self, backend: Backend, address: Address) -> None:
        self.addresses[backend.id] = address
        if backend.readiness is Readiness.READY:
            self.draining_ids.discard(backend.id)
        else:
            self.draining_ids.add(backend.id)
        self._refresh_endpoint(backend.id, address)

    def _refresh_endpoint(self, backend_id: str, address: Address) -> None:
        """Bring the endpoint of the backend, if there is one, up to date with the list."""
        endpoint = self.contacted_endpoints.get(backend_id)
        if endpoint is None:
            return
        if endpoint.address != address:
            self.address_owners.remove_contacted(endpoint.address, backend_id)
            self.address_owners.add_contacted(address, backend_id)
            endpoint.address = address
            endpoint.close_idle_connections()
        # An attempt that waits for a connection is not written to a draining backend either.  Since the list
        # may arrive late, the attempt could reach the backend after the end of its grace period.
        endpoint.is_draining = backend_id in self.draining_ids

    def _remove_backend(self, backend_id: str) -> None:
        """Remove the backend and close its endpoint.

        Attempts that wait for a connection still refer to the endpoint; they fail because it is draining.
        """
        self.addresses.discard(backend_id)
        self.draining_ids.discard(backend_id)
        endpoint = self.contacted_endpoints.pop(backend_id, None)
        if endpoint is not None:
            self.address_owners.remove_contacted(endpoint.address, backend_id)
            endpoint.is_listed = False
            endpoint.is_draining = True
            endpoint.close_idle_connections()
