"""The key by which the parts of the decision module identify an attempt."""

from typing import TypeAlias

AttemptKey: TypeAlias = tuple[str, int]
"""The request's id, and the attempt's number within the request, from 0."""
