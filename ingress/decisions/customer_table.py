"""The customers that this gateway keeps state of, limited in number."""

from ingress.decisions.constants import NEVER
from ingress.decisions.customer import Customer

RECLAIM_PERIOD_S = 1.0  # time between two searches of a full table for customers that can be dropped


class CustomerTable:
    """The customers that have sent requests recently, by their keys and by their hashes.

    A customer is dropped early only if its buckets are full again: one that comes back as a new customer then
    gets no units twice.  While a full table holds no such customer, it takes no new one.
    """

    def __init__(self, max_customers: int | None) -> None:
        """Create an empty table; without `max_customers`, their number is not limited."""
        self.max_customers = max_customers
        self.by_key: dict[str, Customer] = {}
        """The customers by the name that requests give."""
        self.by_hash: dict[int, Customer] = {}
        """The same customers by the hash that identifies them in gossip messages."""
        self._reclaimed_at = NEVER
        """Time in seconds of the last search of the full table."""

    def add(self, customer: Customer) -> None:
        """Add a customer, or replace the one with the same key."""
        self.by_key[customer.key] = customer
        self.by_hash[customer.hash] = customer

    def is_full(self) -> bool:
        """Return whether no new customer can be added."""
        return self.max_customers is not None and len(self.by_key) >= self.max_customers

    def reclaim(self, now: float) -> list[Customer]:
        """Drop and return the customers whose state equals that of a new one, once in a period."""
        if now - self._reclaimed_at < RECLAIM_PERIOD_S:
            return []
        self._reclaimed_at = now
        return self._drop([customer for customer in self.by_key.values() if customer.equals_new(now)])

    def evict_idle(self, now: float) -> list[Customer]:
        """Drop and return the idle customers whose state equals that of a new customer."""
        return self._drop([customer for customer in self.by_key.values() if customer.is_evictable(now)])

    def _drop(self, customers: list[Customer]) -> list[Customer]:
        for customer in customers:
            del self.by_key[customer.key]
            self.by_hash.pop(customer.hash, None)
        return customers
