"""Fair sharing of the event loop among connections with input."""

from __future__ import annotations

import asyncio

import pytest

from ingress.downstream import input_scheduler
from ingress.downstream.input_scheduler import InputScheduler
from tests.support.peers import run_async_test, wait_until


class StubConnection:
    """A connection with a number of commands, one of which each slice executes."""

    def __init__(self, name: str, command_count: int, executed: list[str]) -> None:
        self.name = name
        self.command_count = command_count
        self.executed = executed

    def process_input(self, end_time: float) -> bool:
        """Execute one command."""
        if self.command_count:
            self.command_count -= 1
            self.executed.append(self.name)
        return self.command_count > 0


def test_first_slice_of_a_connection_comes_before_the_backlog_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(input_scheduler, "TURN_TIME_S", 0.0)  # no connection has a slice in the first turn

    async def body() -> None:
        executed: list[str] = []
        scheduler = InputScheduler(asyncio.get_running_loop())
        flood = StubConnection("flood", 5, executed)
        scheduler.schedule(flood)
        monkeypatch.setattr(input_scheduler, "TURN_TIME_S", 1.0)
        await wait_until(lambda: not flood.command_count)
        flood.command_count = 5
        scheduler.schedule(flood)
        late = StubConnection("late", 2, executed)
        scheduler.schedule(late)
        executed.clear()
        await wait_until(lambda: not flood.command_count and not late.command_count)
        assert executed == ["flood", "late", "flood", "late", "flood", "flood", "flood"]

    run_async_test(body())


def test_clients_that_send_one_command_after_another_do_not_starve_a_backlog(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(input_scheduler, "TURN_TIME_S", 1.0)

    async def body() -> None:
        executed: list[str] = []
        scheduler = InputScheduler(asyncio.get_running_loop())

        class Repeating(StubConnection):
            def process_input(self, end_time: float) -> bool:
                super().process_input(end_time)
                if len(executed) < 20:
                    self.command_count = 1
                    scheduler.schedule(self)  # the reply made the client send again
                return False

        repeating = Repeating("repeating", 1, executed)
        backlogged = StubConnection("backlogged", 3, executed)
        scheduler.schedule(backlogged)
        scheduler.schedule(repeating)
        await wait_until(lambda: len(executed) >= 20)
        assert executed[:6].count("backlogged") == 3

    run_async_test(body())


def test_fault_in_one_connection_does_not_stop_the_others() -> None:
    class Faulty(StubConnection):
        def process_input(self, end_time: float) -> bool:
            raise ValueError

    async def body() -> None:
        executed: list[str] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        scheduler = InputScheduler(loop)
        scheduler.schedule(Faulty("faulty", 1, executed))
        scheduler.schedule(StubConnection("other", 1, executed))
        await wait_until(lambda: executed == ["other"])

    run_async_test(body())


def test_discarded_connection_has_no_slice() -> None:
    async def body() -> None:
        executed: list[str] = []
        scheduler = InputScheduler(asyncio.get_running_loop())
        gone, other = StubConnection("gone", 1, executed), StubConnection("other", 1, executed)
        scheduler.schedule(gone)
        scheduler.schedule(other)
        scheduler.discard(gone)
        await wait_until(lambda: executed)
        assert executed == ["other"]

    run_async_test(body())
