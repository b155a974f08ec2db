"""Tests of an attempt's command, in which the remaining time replaces the time set by the client."""

from __future__ import annotations

import pytest

from ingress.upstream.attempt import Attempt
from tests.support.pool import COMMAND_PARTS


@pytest.mark.parametrize(("now", "time_left_ms"), [(100.0, 1500), (100.9999, 500), (101.5, 1), (200.0, 1)])
def test_command_holds_remaining_time_of_at_least_one_millisecond(now: float, time_left_ms: int) -> None:
    before, _, after = COMMAND_PARTS
    attempt = Attempt("r", 0, "s0", 100.0, 101.5, COMMAND_PARTS)
    field_list = b"c=read,d=%d,t=basic,x=9" % time_left_ms
    assert attempt.encode_command(now) == b"%b$%d\r\n%b%b" % (before, len(field_list), field_list, after)


def test_attempt_without_connection_is_not_fully_written() -> None:
    assert not Attempt("r", 0, "s0", 100.0, 101.5, COMMAND_PARTS).is_fully_written()
