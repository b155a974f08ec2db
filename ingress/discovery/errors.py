"""Errors of a call to the discovery agent."""

from __future__ import annotations

from ingress.errors import IngressError


class DiscoveryError(IngressError):
    """Base of all errors of a call to the discovery agent."""


class DiscoveryUnavailableError(DiscoveryError):
    """The agent gave no usable answer; the endpoint list held by the watch stays valid."""


class DiscoveryTimeoutError(DiscoveryUnavailableError):
    """The call was not answered within its timeout."""


class DiscoveryRejectedError(DiscoveryUnavailableError):
    """The agent answered with a status other than 200, as it does under overload."""


class NoResponseError(DiscoveryUnavailableError):
    """The connection ended before any byte of a response arrived."""


class InvalidEndpointListError(DiscoveryError, ValueError):
    """An answer is too long, can't be decoded, or doesn't apply to the endpoint list held by the watch."""
