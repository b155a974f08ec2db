"""Reading of the configuration file that EDGE_CONFIG names; error messages name the invalid key."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from ingress.discovery.endpoint_list import EndpointList, parse_endpoint_list
from ingress.errors import IngressError
from ingress.interface import Settings
from ingress.network.addresses import Address, parse_address
from ingress.settings_codec import decode_settings

T = TypeVar("T")

RESERVED_DESCRIPTORS = 48  # file descriptors for standard streams, event loop, counter and discovery
MIN_SOCKETS = 64  # smallest file descriptor limit that the program accepts
PROGRAM_MEMORY_MB = 26  # memory of the program before it serves
CUSTOMER_BYTES = 1024  # state of one customer in the decision module
MIN_CUSTOMERS = 1000  # the decision module keeps state of as many, however little memory there is


class ConfigurationError(IngressError):
    """The configuration is invalid; the text names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one ingress."""

    name: str
    """Name of this ingress."""
    listen: Address
    """Address on which the ingress accepts client connections."""
    discovery: Address
    """Address of the discovery agent."""
    counter: Address | None
    """Address of the shared counter; None if the settings do not enable it."""
    seed: int
    """Seed of the random number generators."""
    client_sockets: int
    """Maximum number of client connections."""
    backend_sockets: int
    """Maximum number of connections to backends."""
    known: EndpointList
    """The endpoint list to start with, which discovery then replaces or updates."""
    settings: Settings
    """Settings of the decision module."""
    connect_timeout_s: float
    """Seconds within which a connection to a backend must be established."""
    backend_idle_timeout_s: float
    """Seconds after which a backend closes an idle connection."""
    max_in_flight: int
    """Maximum number of requests in flight."""
    max_buffered_bytes: int
    """Maximum number of buffered bytes for each of three uses.

    The uses are requests in flight, unprocessed client input, and partial backend replies.
    """
    max_customers: int
    """Maximum number of customers of whom the decision module keeps state."""


@dataclass(frozen=True, slots=True)
class _ProcessLimits:
    """The parts of `Config` that are derived from the limits of the process."""

    client_sockets: int
    backend_sockets: int
    max_buffered_bytes: int


def read_config(text: str) -> Config:
    """Return the configuration in a JSON text; raise ConfigurationError for the first invalid key."""
    source = _read_object(text)
    seed = _read_seed(source)
    settings_source = _get_typed(source, "settings", dict)
    settings = _decode_settings(settings_source)
    known = _read_known_endpoints(source)
    process_limits = _read_process_limits(_get_typed(source, "limits", dict))
    counter = _get_typed(source, "counter", str) if settings.counter_enabled else None
    request_limits = settings_source["limits"]
    return Config(
        name=_get_typed(source, "name", str),
        listen=_decode_address(_get_typed(source, "listen", str), "listen"),
        discovery=_decode_address(_get_typed(source, "discovery", str), "discovery"),
        counter=None if counter is None else _decode_address(counter, "counter"),
        seed=seed,
        client_sockets=process_limits.client_sockets,
        backend_sockets=process_limits.backend_sockets,
        known=known,
        settings=settings,
        connect_timeout_s=_get_positive(request_limits, "connect-timeout-s", 0.25),
        backend_idle_timeout_s=_get_positive(request_limits, "keepalive-s", 15.0),
        max_in_flight=int(_get_positive(request_limits, "max-open", 20000)),
        max_buffered_bytes=process_limits.max_buffered_bytes,
        max_customers=max(MIN_CUSTOMERS, process_limits.max_buffered_bytes // CUSTOMER_BYTES),
    )


def _read_object(text: str) -> dict[str, Any]:
    try:
        source = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"EDGE_CONFIG: not JSON: {error}") from None
    if not isinstance(source, dict):
        raise ConfigurationError("EDGE_CONFIG: not an object")
    return source


def _read_seed(source: Mapping[str, Any]) -> int:
    text = _get_typed(source, "seed", str)
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigurationError(f"seed: {text!r} is not a hexadecimal number") from None


def _decode_settings(source: dict[str, Any]) -> Settings:
    try:
        return decode_settings(source)
    except KeyError as error:
        raise ConfigurationError(f"settings: {error} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(f"settings: {error}") from None


def _read_known_endpoints(source: Mapping[str, Any]) -> EndpointList:
    try:
        return parse_endpoint_list(source.get("known") or {"version": 0, "full": True, "servers": []})
    except ValueError as error:
        raise ConfigurationError(f"known: {error}") from None


def _read_process_limits(limits: Mapping[str, Any]) -> _ProcessLimits:
    """Divide the file descriptors and the memory of the process among its parts."""
    sockets = int(_get_positive(limits, "sockets", 1024))
    if sockets < MIN_SOCKETS:
        raise ConfigurationError(f"limits.sockets: {sockets} is below the minimum of {MIN_SOCKETS}")
    # Half of the memory that exceeds PROGRAM_MEMORY_MB is divided equally among the three uses of
    # `max_buffered_bytes`.
    buffer_mb = (_get_positive(limits, "memory_mb", 1024) - PROGRAM_MEMORY_MB) / 6
    # All parts together stay below the file descriptor limit.  Clients get two thirds of the descriptors that
    # are not reserved, and backends one third: with many clients, each request arrives on its own connection,
    # while only few attempts are in flight at the same time.
    backend_sockets = (sockets - min(RESERVED_DESCRIPTORS, sockets // 2)) // 3
    return _ProcessLimits(
        client_sockets=2 * backend_sockets,
        backend_sockets=backend_sockets,
        max_buffered_bytes=int(max(1.0, buffer_mb) * 1024 * 1024),
    )


def _get_typed(source: Mapping[str, Any], key: str, expected_type: type[T]) -> T:
    """Return the value of a required key; raise ConfigurationError if it is missing or has another type."""
    if key not in source:
        raise ConfigurationError(f"{key}: missing")
    value = source[key]
    if not isinstance(value, expected_type):
        raise ConfigurationError(f"{key}: {value!r} is not of type {expected_type.__name__}")
    return value


def _decode_address(text: str, key: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigurationError(f"{key}: {error}") from None


def _get_positive(source: Mapping[str, Any], key: str, default: float) -> float:
    """Return the value of an optional key; raise ConfigurationError if it is not a positive number."""
    value = source.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < float("inf"):
        raise ConfigurationError(f"{key}: {value!r} is not a positive number")
    return float(value)
