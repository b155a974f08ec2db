"""Reports of use from other gateways, where the deployment lets gateways send messages to each other."""

import mulleinhall.interface as api


class PeerReports:
    """For each peer: when it was heard, its process's start, and its running totals by customer."""

    def __init__(self) -> None:
        self.heard_at: dict[int, float] = {}
        self.incarnations: dict[int, int] = {}
        self.totals: dict[tuple[int, int], float] = {}

    def read(self, event: api.PeerMessage, now: float, own_incarnation: int) -> list[tuple[int, float]]:
        """The use that a message reports, as (customer's hash, units since the last report)."""
        try:
            start, *rows = event.text.split()
            incarnation = int(start)
            entries = [(int(k, 16), int(v) / 10) for k, v in (row.split(":") for row in rows)]
        except ValueError:
            return []  # garbled: nothing is learned
        known = self.incarnations.get(event.sender, incarnation)
        if incarnation < known:
            return []  # from a process that has ended
        if incarnation > known:
            self.totals = {k: v for k, v in self.totals.items() if k[0] != event.sender}
        self.incarnations[event.sender] = incarnation
        self.heard_at[event.sender] = now
        news = []
        for customer, total in entries:
            # A peer's whole past must not count as use just now.  What it used before this process began is
            # unknown; all that a later process reports counts.
            unknown = 0.0 if incarnation >= own_incarnation else total
            last = self.totals.get((event.sender, customer), unknown)
            self.totals[event.sender, customer] = max(last, total)
            if total > last:
                news.append((customer, total - last))
        return news
