"""The idle timeout of a connection without a pending reply."""

from __future__ import annotations

import pytest

from ingress.downstream.timeouts import (
    DRAIN_FIRST_REQUEST_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    READ_TIMEOUT_S,
    compute_idle_timeout_s,
)


@pytest.mark.parametrize(
    ("is_new", "is_draining", "expected_s"),
    [
        (True, False, READ_TIMEOUT_S),
        (False, False, IDLE_TIMEOUT_S),
        (True, True, DRAIN_FIRST_REQUEST_TIMEOUT_S),
        (False, True, 0.0),
    ],
)
def test_idle_timeout_depends_on_first_command_and_draining(
    is_new: bool, is_draining: bool, expected_s: float
) -> None:
    assert compute_idle_timeout_s(is_new=is_new, is_draining=is_draining) == expected_s
