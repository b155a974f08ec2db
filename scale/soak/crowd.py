"""Many clients in one thread, each of which sends one command after another."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from scale.addresses import Address

PAUSE_S = 0.005  # between two rounds through all clients
RECEIVE_BYTES = 1 << 16


@dataclass(slots=True)
class CrowdClient:
    """One client; a connection that ends is opened again."""

    make_data: Callable[[], bytes]
    """Returns what it sends next: a command, or part of one; after that it waits for a reply."""
    bytes_at_once: int
    """How much it sends in a round."""
    sock: socket.socket | None = field(default=None, repr=False)
    data: bytes = b""
    sent_bytes: int = 0

    def step(self, address: Address) -> None:
        """Connect, send and receive as much as is possible at once."""
        try:
            if self.sock is None:
                self.sock = socket.create_connection(address, timeout=1.0)
                self.sock.setblocking(False)
                self._start_command()
            self._send(self.sock)
            self._receive(self.sock)
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    def _start_command(self) -> None:
        self.data = self.make_data()
        self.sent_bytes = 0

    def _send(self, sock: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError):
            self.sent_bytes += sock.send(self.data[self.sent_bytes : self.sent_bytes + self.bytes_at_once])

    def _receive(self, sock: socket.socket) -> None:
        if not sock.recv(RECEIVE_BYTES):
            self.close()
        elif self.sent_bytes >= len(self.data):
            self._start_command()

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def run_crowd(address: Address, clients: list[CrowdClient], stop: threading.Event) -> None:
    """Run the clients until the event is set, then close their connections."""
    while not stop.wait(PAUSE_S):
        for client in clients:
            client.step(address)
    for client in clients:
        client.close()
