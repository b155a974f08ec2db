"""The stand-ins of some backends, in one process: they speak RESP2 as the protocol page says.

    python -m review.support.backends [--work-ms N] [--answer-bytes N] [--lost-share F]
        [--second-share F] [--second-after-ms N] ADDRESS...

Each request is served after its work with `value-of:ID:` and filler bytes: 200 for every other one,
`--answer-bytes` for the rest.  With `--lost-share`, the answers
to that share of the requests are lost: the request has run, and nothing comes.  With `--second-share`, that
share of the answers is sent once more, `--second-after-ms` later.  The sockets have the system's default
options, so TCP_NODELAY is off.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import socket
import time
import zlib

SHORT_ANSWER_BYTES = 200


class Backend:
    """One backend."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.in_flight = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request after another."""
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                words = await read_command(reader)
                if words[0].upper() == b"PING":
                    writer.write(b"+PONG\r\n")
                    continue
                print(f"run {words[2].decode()} {time.time():.6f}", flush=True)
                self.in_flight += 1
                try:
                    await asyncio.sleep(self.options.work_ms / 1000)
                finally:
                    self.in_flight -= 1
                if self._is_chosen(words[2], self.options.lost_share):
                    await reader.read()  # nothing more comes until the ingress gives the attempt up
                    break
                answer = self._make_answer(words[2])
                writer.write(answer)
                await writer.drain()
                if self._is_chosen(words[2], self.options.second_share):
                    start = time.monotonic()
                    await asyncio.sleep(self.options.second_after_ms / 1000)
                    writer.write(answer)
                    late_ms = (time.monotonic() - start) * 1000
                    print(f"second {words[2].decode()} {time.time():.6f} {late_ms:.2f}", flush=True)
        writer.close()

    def _is_chosen(self, request_id: bytes, share: float) -> bool:
        return zlib.crc32(request_id) // 2 % 10_000 < share * 10_000

    def _make_answer(self, request_id: bytes) -> bytes:
        # Every other request has a long answer.
        size = self.options.answer_bytes if zlib.crc32(request_id) & 1 else SHORT_ANSWER_BYTES
        value = (b"value-of:%b:" % request_id).ljust(size, b"v")
        report = b"inflight=%d" % self.in_flight
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def main() -> None:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--work-ms", type=float, default=10.0)
    parser.add_argument("--answer-bytes", type=int, default=200)
    parser.add_argument("--lost-share", type=float, default=0.0)
    parser.add_argument("--second-share", type=float, default=0.0)
    parser.add_argument("--second-after-ms", type=float, default=3.0)
    parser.add_argument("addresses", nargs="+")
    options = parser.parse_args()
    servers = []
    for address in options.addresses:
        backend = Backend(options)
        host, _, port = address.rpartition(":")
        servers.append(await asyncio.start_server(backend.handle, host, int(port)))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
