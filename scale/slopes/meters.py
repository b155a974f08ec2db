"""Meters: they measure the cost of an event in the decision module, in CPU time or in function calls."""

from __future__ import annotations

import sys
import time
from types import FrameType
from typing import Protocol

from ingress.decisions import Gateway
from ingress.interface import Action, Event


class Meter(Protocol):
    """Hands events to a gateway and measures their cost."""

    last_cost: int
    """The cost of the last event."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event and measure its cost."""
        ...


class CpuMeter:
    """Measures the CPU time of this thread, in nanoseconds."""

    def __init__(self, gateway: Gateway) -> None:
        self.last_cost = 0
        self._gateway = gateway

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event and measure its cost."""
        started_at = time.thread_time_ns()
        actions = list(self._gateway.handle(now, event))
        self.last_cost = time.thread_time_ns() - started_at
        return actions


class CallMeter:
    """Counts function calls, both of functions written in Python and of built-in ones.

    The same source code and the same events give the same number, however busy the machine is.
    """

    def __init__(self, gateway: Gateway) -> None:
        self.last_cost = 0
        self.is_counting = False
        self._gateway = gateway
        self._call_count = 0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event and count its function calls, if `is_counting` is set."""
        if not self.is_counting:
            return list(self._gateway.handle(now, event))
        self._call_count = 0
        sys.setprofile(self._count_call)
        try:
            actions = self._gateway.handle(now, event)
        finally:
            sys.setprofile(None)
        self.last_cost = self._call_count
        return list(actions)

    def _count_call(self, frame: FrameType, kind: str, argument: object) -> None:
        if kind in ("call", "c_call"):
            self._call_count += 1
