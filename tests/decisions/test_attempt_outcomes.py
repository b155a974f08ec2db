"""The end of attempts: each request gets one final answer, which permits a retry only if that is safe."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.interface import AttemptEnded, Outcome, Reject, RequestCancelled
from tests.support.gateway import BASIC_PLAN, SETTINGS, GatewayHarness, find_final_answers, find_sent_attempts

POSSIBLY_EXECUTED_OUTCOMES = tuple(o for o in Outcome if not o.proves_not_executed)


@pytest.mark.parametrize("outcome", POSSIBLY_EXECUTED_OUTCOMES)
def test_non_idempotent_request_that_may_have_been_executed_is_not_rejected(outcome: Outcome) -> None:
    harness = GatewayHarness()
    sent = find_sent_attempts(harness.deliver_request(request_class="pay"))[0]
    actions = harness.end_attempt(sent, outcome, finished=outcome is Outcome.OK)
    assert not find_sent_attempts(actions)
    assert not any(isinstance(a, Reject) for a in actions)


def test_every_request_gets_one_final_answer_when_all_attempts_fail() -> None:
    harness = GatewayHarness(replace(SETTINGS, plans=(replace(BASIC_PLAN, rate=1000.0, burst=1000.0),)))
    for index in range(60):
        attempt_number, sent = (
            0,
            find_sent_attempts(
                harness.deliver_request(0.2, request_class=("read", "order", "pay")[index % 3])
            ),
        )
        while sent:
            sent = find_sent_attempts(
                harness.end_attempt(sent[0], Outcome.RESET, 0.01, attempt_number=attempt_number)
            )
            attempt_number += 1
    answered_ids = [getattr(a, "id", "") for a in find_final_answers(harness.actions)]
    assert sorted(answered_ids) == sorted({f"r{n}" for n in range(1, 61)})
    assert not harness.gateway.requests


def test_attempt_timeout_at_the_deadline_causes_the_final_answer() -> None:
    harness = GatewayHarness()
    sent = find_sent_attempts(harness.deliver_request(remaining_time=2.0))[0]
    assert sent.timeout == pytest.approx(2.0)
    assert len(find_final_answers(harness.end_attempt(sent, Outcome.TIMEOUT, 2.0))) == 1


def test_events_of_finished_or_unknown_requests_cause_no_action() -> None:
    harness = GatewayHarness()
    sent = find_sent_attempts(harness.deliver_request())[0]
    assert harness.deliver_event(0.1, RequestCancelled("r1")) == []
    assert harness.deliver_event(0.1, RequestCancelled("r1")) == []
    assert harness.end_attempt(sent, Outcome.CONNECT_FAILED) == []
    assert harness.deliver_event(0.0, AttemptEnded("unknown", 0, "b0", Outcome.OK)) == []
