"""The address of a TCP peer."""

from __future__ import annotations

from typing import TypeAlias

Address: TypeAlias = tuple[str, int]  # host and port
