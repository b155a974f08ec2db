"""The base class of the exceptions that the program defines."""

from __future__ import annotations


class IngressError(Exception):
    """Base class of the errors caused from outside the program: by a peer, a client or the configuration."""
