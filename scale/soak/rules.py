"""The rules that a soak run checks: those of the protocol that the books of one ingress can show."""

from __future__ import annotations

from scale.soak.books import (
    DEDUPLICATION_WINDOW_S,
    Books,
    Ending,
    Execution,
    RequestRecord,
    Semantics,
)

SOCKET_SLACK_S = 0.05  # by which every time limit is longer on sockets
AFTER_LEAVING_S = 0.1  # after which no attempt may begin for a client that has closed its connection
CROSSING_S = 0.25  # after which an answer does not cross a request that was sent before
TOLD_SLACK_S = 0.25  # after which an ingress goes by what discovery has told
DEADLINE_SLACK_S = 0.15  # by which a deadline passed on may exceed what the client has left


def find_violations(books: Books) -> list[str]:
    """Return a line for each broken rule; none if the run kept them all."""
    violations = [f"crash: {text}" for text in books.unexpected_exits]
    if books.peak_memory_bytes > books.memory_limit_bytes:
        violations.append(f"memory: {books.peak_memory_bytes} of {books.memory_limit_bytes} bytes")
    ids_served_to_others = set()
    for answer in books.open_id_answers:
        record = books.requests[answer.request_id]
        if answer.is_served:
            ids_served_to_others.add(answer.request_id)
            if record.ended_at > answer.sent_at + CROSSING_S + books.longest_own_lag_s:
                violations.append(f"open id served: {answer.request_id.decode()}")
        elif not answer.is_in_time:
            violations.append(f"bad client without error or close: {answer.request_id.decode()}")
    for request_id, record in books.requests.items():
        executions = books.executions.get(request_id, [])
        slack_s = SOCKET_SLACK_S + books.longest_own_lag_s
        violations += _check_ending(record)
        if request_id not in ids_served_to_others:  # their executions may be those of the other clients
            violations += _check_effects(record, executions, slack_s)
            for execution in executions:
                violations += _check_execution(record, execution, slack_s)
    return violations


def _check_ending(record: RequestRecord) -> list[str]:
    if record.ending is None or record.ending is Ending.LOST:
        return [f"lost: {_describe(record)}, {record.ended_at - record.sent_at:.3f} s after it was sent"]
    if record.ending is Ending.FOREIGN:
        return [f"foreign value: {_describe(record)}"]
    return []


def _describe(record: RequestRecord) -> str:
    return f"{record.id.decode()} ({record.semantics}, {record.wait_s * 1000:.0f} ms)"


def _check_effects(record: RequestRecord, executions: list[Execution], slack_s: float) -> list[str]:
    name = _describe(record)
    violations = []
    if record.ending is Ending.REFUSED and executions and record.semantics is not Semantics.SAFE:
        violations.append(f"refused though it ran: {name}")
    if record.semantics is Semantics.UNSAFE and len(executions) > 1:
        violations.append(f"duplicate: {name} ran {len(executions)} times")
    if record.semantics is Semantics.KEYED:
        violations += _check_deduplication(executions, name, slack_s)
    return violations


def _check_deduplication(executions: list[Execution], name: str, slack_s: float) -> list[str]:
    """Check a keyed request, leaving out executions at backends of which an ingress could not know."""
    told = [e for e in executions if e.arrived_at >= e.told_at + TOLD_SLACK_S]
    violations = []
    if len({execution.cell for execution in told}) > 1:
        violations.append(f"duplicate: {name} ran in cells {[execution.cell for execution in told]}")
    if told and told[-1].arrived_at - told[0].arrived_at > DEDUPLICATION_WINDOW_S + slack_s:
        violations.append(f"duplicate: {name} ran again after its window")
    return violations


def _check_execution(record: RequestRecord, execution: Execution, slack_s: float) -> list[str]:
    name = _describe(record)
    violations = []
    if record.left_at is not None:
        late_s = execution.arrived_at - record.left_at
        if late_s > AFTER_LEAVING_S + slack_s:
            violations.append(f"sent after its client left: {name}, {late_s:.3f} s after the close")
    time_left_s = record.sent_at + record.wait_s - execution.arrived_at
    passed_on_s = execution.deadline_s
    if passed_on_s > time_left_s + DEADLINE_SLACK_S + slack_s:
        violations.append(f"deadline passed on: {name}, {passed_on_s:.3f} of {time_left_s:.3f} s left")
    return violations
