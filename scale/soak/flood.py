"""Clients that send the same bytes at full speed, from threads of their own, and read what they are sent."""

from __future__ import annotations

import contextlib
import select
import socket
import threading
from collections.abc import Callable, Iterator

from scale.addresses import Address

RECEIVE_BYTES = 1 << 20
WAIT_S = 0.2  # between checks whether the flood is to end, while the connection takes no bytes


class FloodingClient:
    """One client, which connects again whenever its connection ends."""

    def __init__(self, address: Address, make_payload: Callable[[int], bytes]) -> None:
        """Create a client that is not started; `make_payload` returns what it sends as its nth write."""
        self._address = address
        self._make_payload = make_payload
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._write_count = 0
        self.sent_bytes = 0

    def start(self) -> None:
        """Start to send."""
        self._thread.start()

    def stop(self) -> None:
        """Stop, and close the connection."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            with contextlib.suppress(OSError), socket.create_connection(self._address) as sock:
                self._flood(sock)

    def _flood(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        unsent = b""
        while not self._stop.is_set():
            readable, writable, _ = select.select([sock], [sock], [], WAIT_S)
            if readable and not sock.recv(RECEIVE_BYTES):
                return
            if writable:
                if not unsent:
                    unsent = self._make_payload(self._write_count)
                    self._write_count += 1
                sent = sock.send(unsent)
                unsent = unsent[sent:]
                self.sent_bytes += sent


@contextlib.contextmanager
def flooding(
    address: Address, make_payload: Callable[[int, int], bytes], client_count: int
) -> Iterator[list[FloodingClient]]:
    """Flood the address until the end of the context.

    `make_payload` is called with the number of the client and the number of its write.
    """

    def bind_client(number: int) -> Callable[[int], bytes]:
        return lambda write: make_payload(number, write)

    clients = [FloodingClient(address, bind_client(number)) for number in range(client_count)]
    for client in clients:
        client.start()
    try:
        yield clients
    finally:
        for client in clients:
            client.stop()
