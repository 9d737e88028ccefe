"""Pending deadlines of a balancer, and the single timer that is set for the earliest one."""

from __future__ import annotations

import heapq
from enum import Enum, unique

TIMER_TOKEN = "agenda"  # visible on the simulator's wire


@unique
class DeadlineKind(Enum):
    """What has to be done when a deadline passes."""

    POLL = "poll"  # poll discovery
    RESPONSE = "response"  # send the final response of a request
    ATTEMPT = "attempt"  # check an attempt whose timeout has passed


class Deadline:
    """A scheduled deadline.  It refers to its request by number, so that an ended request can be freed."""

    __slots__ = ("attempt_index", "due", "kind", "request_id")

    def __init__(self, kind: DeadlineKind, due: int, request_id: int, attempt_index: int) -> None:
        self.kind = kind
        self.due = due
        self.request_id = request_id
        self.attempt_index = attempt_index


class Scheduler:
    """A priority queue of deadlines; deadlines due at the same time pass in the order of scheduling."""

    def __init__(self) -> None:
        self._queue: list[tuple[int, int, Deadline]] = []  # (due, sequence number, deadline)
        self._sequence = 0
        self._timer_due: int | None = None  # None: no timer is set

    def schedule_poll(self, due: int) -> None:
        """Schedule a poll of discovery."""
        self._push(Deadline(DeadlineKind.POLL, due, -1, -1))

    def schedule_response(self, due: int, request_id: int) -> None:
        """Schedule the final response of a request."""
        self._push(Deadline(DeadlineKind.RESPONSE, due, request_id, -1))

    def schedule_attempt(self, due: int, request_id: int, attempt_index: int) -> None:
        """Schedule a check of an attempt that may have timed out."""
        self._push(Deadline(DeadlineKind.ATTEMPT, due, request_id, attempt_index))

    def _push(self, deadline: Deadline) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (deadline.due, self._sequence, deadline))

    def next(self) -> Deadline | None:
        """Return the earliest deadline without removing it."""
        return self._queue[0][2] if self._queue else None

    def drop_next(self) -> None:
        """Remove the earliest deadline; the queue must not be empty."""
        heapq.heappop(self._queue)

    def pop_due(self, now: int) -> Deadline | None:
        """Remove and return the earliest deadline if it is due."""
        if self._queue and self._queue[0][0] <= now:
            return heapq.heappop(self._queue)[2]
        return None

    def record_timer(self, now: int) -> None:
        """Note that a timer fired.

        Ignored before the due time of the current timer: then the timer that fired is an older one, which the
        current timer replaced.
        """
        if self._timer_due is not None and now >= self._timer_due:
            self._timer_due = None

    def timer_to_set(self, now: int) -> int | None:
        """Return the delay of the timer to set for the earliest deadline; None if no new timer is needed."""
        if not self._queue:
            return None
        due = self._queue[0][0]
        if self._timer_due is not None and due >= self._timer_due:
            return None
        self._timer_due = due
        return max(due - now, 0)
