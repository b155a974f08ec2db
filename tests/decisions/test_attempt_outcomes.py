"""The end of attempts: each request gets one final answer, which guarantees no more than is known."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.interface import AttemptEnded, Outcome, Reject, RequestCancelled
from tests.support.gateway import BASIC, SETTINGS, Play, finals, sends

POSSIBLY_EXECUTED_OUTCOMES = tuple(o for o in Outcome if not o.proves_not_executed)


@pytest.mark.parametrize("outcome", POSSIBLY_EXECUTED_OUTCOMES)
def test_non_idempotent_request_that_may_have_been_executed_is_not_rejected(outcome: Outcome) -> None:
    play = Play()
    sent = sends(play.ask(request_class="pay"))[0]
    actions = play.end(sent, outcome, finished=outcome is Outcome.OK)
    assert not sends(actions)
    assert not any(isinstance(a, Reject) for a in actions)


def test_every_request_gets_one_final_answer_when_all_attempts_fail() -> None:
    play = Play(replace(SETTINGS, plans=(replace(BASIC, rate=1000.0, burst=1000.0),)))
    for index in range(60):
        attempt_number, sent = 0, sends(play.ask(0.2, request_class=("read", "order", "pay")[index % 3]))
        while sent:
            sent = sends(play.end(sent[0], Outcome.RESET, 0.01, attempt=attempt_number))
            attempt_number += 1
    answered_ids = [getattr(a, "id", "") for a in finals(play.actions)]
    assert sorted(answered_ids) == sorted({f"r{n}" for n in range(1, 61)})
    assert not play.gateway.requests


def test_attempt_timeout_at_the_deadline_causes_the_final_answer() -> None:
    play = Play()
    sent = sends(play.ask(remaining_time=2.0))[0]
    assert sent.timeout == pytest.approx(2.0)
    assert len(finals(play.end(sent, Outcome.TIMEOUT, 2.0))) == 1


def test_events_of_finished_or_unknown_requests_cause_no_action() -> None:
    play = Play()
    sent = sends(play.ask())[0]
    assert play.at(0.1, RequestCancelled("r1")) == []
    assert play.at(0.1, RequestCancelled("r1")) == []
    assert play.end(sent, Outcome.CONNECT_FAILED) == []
    assert play.at(0.0, AttemptEnded("unknown", 0, "b0", Outcome.OK)) == []
