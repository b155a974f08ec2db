"""Parsing of client commands and their validation against the settings."""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import ceil

from ingress.errors import IngressError
from ingress.interface import Idempotency, RequestClass, Settings

CUSTOMER_PATTERN = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")  # a number below 2^33 as 16 hex digits
REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
INTEGER_PATTERN = re.compile(r"[0-9]{1,9}")
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
REQUIRED_FIELDS = ("c", "t", "d")
MAX_FIELDS = 32  # four times as many as there are; bounds the time that a field list takes
OK_REPLY = b"+OK\r\n"
PONG_REPLY = b"+PONG\r\n"


class CommandError(IngressError):
    """A command is invalid; the text gives the reason and is sent to the client."""


@dataclass(slots=True)
class Command:
    """A valid request of a client."""

    arguments: list[bytes]  # as received: verb, customer, request id, field list, and optionally a body
    client_request_id: bytes  # chosen by the client; unique only among unanswered requests
    customer: str  # 16 lowercase hex digits
    request_class: str
    plan: str
    wait_s: float  # how long the client waits for the answer
    units: float  # quota units that the request costs
    assigned_instances: int  # number of ingress instances that serve the customer
    first_instance: int  # index of the first of these instances
    is_client_retry: bool
    is_write: bool

    def encode_parts(self) -> tuple[bytes, bytes, bytes]:
        """Return the command in RESP as three parts: before, inside and after the field list.

        The first part ends before the length prefix of the field list.  Each attempt replaces the deadline
        in the list, so the prefix is only known when an attempt is sent.
        """
        verb, customer, request_id, fields, *body = self.arguments
        before = b"*%d\r\n%b%b%b" % (
            len(self.arguments),
            encode_bulk_string(verb),
            encode_bulk_string(customer),
            encode_bulk_string(request_id),
        )
        return before, fields, b"\r\n" + b"".join(map(encode_bulk_string, body))


def encode_bulk_string(value: bytes) -> bytes:
    """Return the value as a RESP bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_error_reply(reason: str) -> bytes:
    """Return the reply to a command that cannot be executed; its text is the reason in one line."""
    text = reason.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")
    return b"-ERR %b\r\n" % text


def create_connection_reply(verb: bytes, arguments: list[bytes]) -> bytes:
    """Return the reply to a command that concerns only the connection, such as PING.

    Raise CommandError for any other command and for an empty one.
    """
    if not arguments:
        raise CommandError("a command is an array of bulk strings")
    if verb == b"PING" and len(arguments) <= 2:
        return encode_bulk_string(arguments[1]) if len(arguments) == 2 else PONG_REPLY
    if verb in (b"CLIENT", b"SELECT"):
        return OK_REPLY
    raise CommandError("unknown command")


class CommandParser:
    """Parses API.READ and API.WRITE.

    The field list of these commands has the fields c (request class), t (plan), d (milliseconds for which the
    client waits), k (idempotency key), units, spread (number of assigned instances), first (index of the
    first of them) and r (1 if the command is a client's retry).

    Request classes, plans and value ranges are checked against the settings.  A command that a backend
    would reject is rejected here, so that it cannot use up the customer's quota.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes: dict[str, RequestClass] = {c.name: c for c in settings.classes}
        self.plans = {plan.name for plan in settings.plans}
        self.instance_count = settings.instance_count
        self.max_request_units = settings.max_request_units

    def parse(self, verb: bytes, arguments: list[bytes]) -> Command:
        """Return the parsed command; `verb` is the first of the arguments in upper case.

        Raise CommandError for the first rule that the command breaks.
        """
        is_write = verb == b"API.WRITE"
        _check_arguments(arguments, is_write)
        fields = _parse_fields(arguments[3])
        request_class = self._find_request_class(fields, is_write)
        units = self._parse_units(fields)
        if fields.get("r", "0") not in ("0", "1"):
            raise CommandError("bad number: r")
        # The wait of a client may be up to twice the deadline of the class, because a client that sends a
        # request late counts its wait from the time at which it should have sent.
        max_wait_ms = ceil(2 * request_class.deadline * 1000)
        return Command(
            arguments=arguments,
            client_request_id=arguments[2],
            customer=arguments[1].decode().lower(),
            request_class=fields["c"],
            plan=fields["t"],
            wait_s=_parse_integer(fields, "d", 1, max_wait_ms) / 1000,
            units=units,
            assigned_instances=_parse_integer(fields, "spread", 1, self.instance_count),
            first_instance=_parse_integer(fields, "first", 0, self.instance_count - 1),
            is_client_retry=fields.get("r") == "1",
            is_write=is_write,
        )

    def _find_request_class(self, fields: dict[str, str], is_write: bool) -> RequestClass:
        """Return the request class that the fields name; also check the plan and the idempotency key."""
        request_class = self.classes.get(fields["c"])
        if request_class is None:
            raise CommandError("unknown class")
        if fields["t"] not in self.plans:
            raise CommandError("unknown plan")
        if is_write is (request_class.idempotency is Idempotency.IDEMPOTENT):
            raise CommandError("the class belongs to the other command")
        if request_class.idempotency is Idempotency.KEYED and not fields.get("k"):
            raise CommandError("k is missing")
        return request_class

    def _parse_units(self, fields: dict[str, str]) -> float:
        text = fields.get("units", "1")
        if not DECIMAL_PATTERN.fullmatch(text) or not 0 < float(text) <= self.max_request_units:
            raise CommandError("bad number: units")
        return float(text)


def _check_arguments(arguments: list[bytes], is_write: bool) -> None:
    if not (len(arguments) == 4 or (is_write and len(arguments) == 5)):
        raise CommandError("wrong number of arguments")
    if not CUSTOMER_PATTERN.fullmatch(arguments[1]):
        raise CommandError("the customer is not a number of 16 hex digits")
    if not REQUEST_ID_PATTERN.fullmatch(arguments[2]):
        raise CommandError("no id")


def _parse_fields(text: bytes) -> dict[str, str]:
    """Return the fields of a comma-separated list of `name=value` pairs."""
    if text.count(b",") >= MAX_FIELDS:
        raise CommandError("too many fields")
    try:
        pairs = [pair.split("=", 1) for pair in text.decode("ascii").split(",")]
        fields = dict(pairs)
    except ValueError:
        raise CommandError("no list of names and values") from None
    if len(fields) < len(pairs):
        raise CommandError("a name stands twice")
    for name in REQUIRED_FIELDS:
        if name not in fields:
            raise CommandError(f"{name} is missing")
    return fields


def _parse_integer(fields: dict[str, str], name: str, minimum: int, maximum: int) -> int:
    text = fields.get(name, str(minimum))
    if not INTEGER_PATTERN.fullmatch(text) or not minimum <= int(text) <= maximum:
        raise CommandError(f"bad number: {name}")
    return int(text)
