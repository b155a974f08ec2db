"""The base class of the exceptions that the program defines."""

from __future__ import annotations


class IngressError(Exception):
    """Base class of errors with a cause outside the program: a client, a server or the configuration."""
