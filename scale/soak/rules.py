"""The rules that a soak run checks: those of the protocol that the books of one ingress can show."""

from __future__ import annotations

from scale.soak.books import Books, Ending, Execution, RequestRecord, Semantics

SOCKET_SLACK_S = 0.05  # by which every time limit is longer on sockets
AFTER_LEAVING_S = 0.1  # after which no attempt may begin for a client that has closed its connection
DEADLINE_SLACK_S = 0.15  # by which a deadline passed on may exceed what the client has left


def find_violations(books: Books) -> list[str]:
    """Return a line for each broken rule; none if the run kept them all."""
    violations = [f"crash: {text}" for text in books.unexpected_exits]
    if books.peak_memory_bytes > books.memory_limit_bytes:
        violations.append(f"memory: {books.peak_memory_bytes} of {books.memory_limit_bytes} bytes")
    for request_id, record in books.requests.items():
        executions = books.executions.get(request_id, [])
        violations += _check_request(record, executions, SOCKET_SLACK_S + books.longest_own_lag_s)
    return violations


def _check_request(record: RequestRecord, executions: list[Execution], slack_s: float) -> list[str]:
    name = f"{record.id.decode()} ({record.semantics}, {record.wait_s * 1000:.0f} ms)"
    violations = []
    if record.ending is None or record.ending is Ending.LOST:
        violations.append(f"lost: {name}, {record.ended_at - record.sent_at:.3f} s after it was sent")
    if record.ending is Ending.FOREIGN:
        violations.append(f"foreign value: {name}")
    if record.ending is Ending.REFUSED and executions and record.semantics is Semantics.UNSAFE:
        violations.append(f"refused though it ran: {name}")
    if record.semantics is Semantics.UNSAFE and len(executions) > 1:
        violations.append(f"duplicate: {name} ran {len(executions)} times")
    for execution in executions:
        violations += _check_execution(record, execution, name, slack_s)
    return violations


def _check_execution(record: RequestRecord, execution: Execution, name: str, slack_s: float) -> list[str]:
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
