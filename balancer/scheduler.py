"""Pending deadlines of a balancer, and the one timer that is set for the earliest of them."""

from __future__ import annotations

import heapq
from enum import Enum, unique

TIMER_TOKEN = "agenda"  # visible on the simulator's wire


@unique
class DeadlineKind(Enum):
    """What falls due."""

    POLL = "poll"  # discovery is to be polled
    RESPONSE = "response"  # a request needs its final response
    ATTEMPT = "attempt"  # an attempt has taken longer than expected


class Deadline:
    """Something that falls due at a clock time; it holds identifiers, so that what is over can be freed."""

    __slots__ = ("attempt_index", "due", "kind", "request_id")

    def __init__(self, kind: DeadlineKind, due: int, request_id: int, attempt_index: int) -> None:
        self.kind = kind
        self.due = due
        self.request_id = request_id
        self.attempt_index = attempt_index


class Scheduler:
    """A priority queue of deadlines; those due at the same time come in the order they were scheduled."""

    def __init__(self) -> None:
        self._queue: list[tuple[int, int, Deadline]] = []  # due, sequence number, deadline
        self._sequence = 0
        self._timer_due: int | None = None  # None: no timer is set

    def schedule_poll(self, due: int) -> None:
        """Poll discovery at `due`."""
        self._push(Deadline(DeadlineKind.POLL, due, -1, -1))

    def schedule_response(self, due: int, request_id: int) -> None:
        """A request's final response has to be sent at `due`."""
        self._push(Deadline(DeadlineKind.RESPONSE, due, request_id, -1))

    def schedule_attempt(self, due: int, request_id: int, attempt_index: int) -> None:
        """Look at an attempt at `due`."""
        self._push(Deadline(DeadlineKind.ATTEMPT, due, request_id, attempt_index))

    def _push(self, deadline: Deadline) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (deadline.due, self._sequence, deadline))

    def next(self) -> Deadline | None:
        """The earliest deadline, left in place."""
        return self._queue[0][2] if self._queue else None

    def drop_next(self) -> None:
        """Remove the earliest deadline; there must be one."""
        heapq.heappop(self._queue)

    def pop_due(self, now: int) -> Deadline | None:
        """Remove and return the earliest deadline if it is due."""
        if self._queue and self._queue[0][0] <= now:
            return heapq.heappop(self._queue)[2]
        return None

    def record_timer(self, now: int) -> None:
        """A timer fired; one that is not due yet was set earlier and replaced since."""
        if self._timer_due is not None and now >= self._timer_due:
            self._timer_due = None

    def timer_to_set(self, now: int) -> int | None:
        """The delay of a timer that is to be set for the earliest deadline; None if the one set will do."""
        if not self._queue:
            return None
        due = self._queue[0][0]
        if self._timer_due is not None and due >= self._timer_due:
            return None
        self._timer_due = due
        return max(due - now, 0)
