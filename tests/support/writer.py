"""A client connection that sends nothing."""

from __future__ import annotations

from ingress.downstream.client_presence import ClientPresence


class FakeWriter:
    """A connection that does not send its replies, and whose client stays connected."""

    def __init__(self) -> None:
        self.presence = ClientPresence(self.check_client_present)

    def flush(self) -> None:
        """Do nothing."""

    def check_client_present(self) -> bool:
        """Return that the client is connected."""
        return True
