"""One queue of what is to happen, in order of time and, at equal times, of when it was planned."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class EventQueue:
    """Virtual time in microseconds of the day."""

    def __init__(self) -> None:
        self.now = 0
        self._planned: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, when: int, act: Callable[..., None], *arguments: Any) -> None:
        """Do something at a time of the day, or now if that is past."""
        self._count += 1
        heapq.heappush(self._planned, (max(when, self.now), self._count, act, arguments))

    def after(self, span_us: int, act: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after a span in microseconds."""
        self.at(self.now + span_us, act, *arguments)

    def run(self, until: int) -> None:
        """Let everything happen that is planned up to a time."""
        planned = self._planned
        while planned and planned[0][0] <= until:
            self.now, _, act, arguments = heapq.heappop(planned)
            act(*arguments)
        self.now = max(self.now, until)
