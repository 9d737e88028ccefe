"""The event queue of the simulation: scheduled calls by time and, at equal times, in order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class EventQueue:
    """Virtual time, in microseconds since the start of the run, and the calls scheduled in it."""

    def __init__(self) -> None:
        self.now = 0
        self._scheduled: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call at a time, or now if that time has passed."""
        self._count += 1
        heapq.heappush(self._scheduled, (max(when, self.now), self._count, call, arguments))

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after a delay in microseconds."""
        self.at(self.now + delay_us, call, *arguments)

    def run(self, until: int) -> None:
        """Make all calls scheduled up to a time, and advance virtual time to it."""
        scheduled = self._scheduled
        while scheduled and scheduled[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(scheduled)
            call(*arguments)
        self.now = max(self.now, until)
