"""The commands that the clients of a soak run send, and the payloads of floods and crowds."""

from __future__ import annotations

from scale.soak.books import Semantics
from scale.soak.plan import CrowdKind, FloodKind
from scale.standins.resp import encode_array

CLASS_BY_SEMANTICS = {Semantics.SAFE: "read", Semantics.KEYED: "book", Semantics.UNSAFE: "pay"}
LARGE_BODY_BYTES = 60_000
FLOOD_WAIT_MS = 1000


def encode_request(
    request_id: bytes,
    semantics: Semantics,
    wait_s: float,
    customer: int,
    body: bytes = b"body",
    more_fields: bytes = b"",
) -> bytes:
    """Return the command of a request."""
    if semantics is Semantics.KEYED:
        more_fields = b",k=%b%b" % (request_id, more_fields)
    fields = b"c=%b,t=basic,d=%d%b,units=1,spread=1,first=0" % (
        CLASS_BY_SEMANTICS[semantics].encode(),
        round(wait_s * 1000),
        more_fields,
    )
    verb = b"API.READ" if semantics is Semantics.SAFE else b"API.WRITE"
    arguments = [verb, b"%016x" % customer, request_id, fields]
    return encode_array(*arguments, *([] if semantics is Semantics.SAFE else [body]))


def encode_malformed_request(request_id: bytes, customer: int) -> bytes:
    """Return a request that names a plan which does not exist."""
    return encode_request(request_id, Semantics.SAFE, 1.0, customer).replace(b"t=basic", b"t=gone.")


def make_flood_payload(kind: FloodKind, client: int, write: int) -> bytes:
    """Return what a flooding client sends as its nth write."""
    malformed = encode_array(b"API.READ", b"z" * 16, b"id", b"c=read,t=basic,d=1000")
    match kind:
        case FloodKind.PING:
            return encode_array(b"PING") * 500
        case FloodKind.MALFORMED:
            return malformed * 100
        case FloodKind.MALFORMED_AND_VALID:
            return b"".join(malformed * 7 + _flood_request(client, write, n, 1) for n in range(10))
        case FloodKind.NEW_CUSTOMERS:
            first = (client * 1_000_000 + write * 40) % (1 << 32)
            return b"".join(_flood_request(client, write, n, first + n) for n in range(40))
        case _:
            return b""


def _flood_request(client: int, write: int, number: int, customer: int) -> bytes:
    request_id = b"flood-%d-%d-%d" % (client, write, number)
    return encode_request(request_id, Semantics.SAFE, FLOOD_WAIT_MS / 1000, customer)


def make_crowd_data(kind: CrowdKind, request_id: bytes) -> bytes:
    """Return what a client of a crowd sends before it waits for a reply."""
    large = encode_request(request_id, Semantics.UNSAFE, 1.0, 2, b"x" * LARGE_BODY_BYTES)
    match kind:
        case CrowdKind.SLOW:
            return large
        case CrowdKind.HALF:
            return large[:-100]
        case CrowdKind.FIELDS:
            fields = b"".join(b",%x=1" % number for number in range(8000))
            return encode_request(request_id, Semantics.SAFE, 1.0, 2, more_fields=fields)
        case _:
            return b""
