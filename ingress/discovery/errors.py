"""Errors of a call to the discovery agent."""

from __future__ import annotations

from ingress.errors import IngressError


class DiscoveryError(IngressError):
    """Base of all errors of a call to the discovery agent."""


class DiscoveryUnavailableError(DiscoveryError):
    """The agent sent no usable response; the endpoint list held by the watch stays valid."""


class DiscoveryTimeoutError(DiscoveryUnavailableError):
    """No complete response arrived within the timeout of the call."""


class DiscoveryRejectedError(DiscoveryUnavailableError):
    """The agent responded with a status other than 200, as it does under overload."""


class NoResponseError(DiscoveryUnavailableError):
    """The connection ended before any byte of a response arrived."""


class InvalidEndpointListError(DiscoveryError, ValueError):
    """A response is too long, can't be decoded, or doesn't apply to the endpoint list held by the watch."""
