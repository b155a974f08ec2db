"""The base class of errors in received bytes."""

from __future__ import annotations

from ingress.errors import IngressError


class ProtocolError(IngressError):
    """A peer sent bytes that its protocol does not allow; the bytes after them cannot be interpreted."""
