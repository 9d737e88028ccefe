"""A modelled server without I/O: slots, a waiting room, cold starts, crowding, slowness and errors.

Both engines serve by it.  Times are microseconds; whoever calls holds the clock and wakes it when a job ends.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum, unique

from testbed.scenario.scenario_run import Fault, Server


@unique
class OfferResult(Enum):
    """Where a job that was offered went."""

    IN_SERVICE = "in service"
    QUEUED = "queued"
    FULL = "full"


@dataclass(slots=True)
class Job:
    """A request at a server."""

    attempt: int
    work_us: int
    error_draw: float  # from 0 to 1, drawn by the caller: below the error rate it ends as an error
    ends_at: int = 0  # once it is at work


class QueueingServer:
    """One server's process at a time."""

    def __init__(self, server: Server, troubles: tuple[Fault, ...] = ()) -> None:
        self._server = server
        self._slow = [each for each in troubles if each.kind == "slow" and server.party in each.parties]
        self._errors = [each for each in troubles if each.kind == "errors" and server.party in each.parties]
        self._started: int | None = None  # None: long ago
        self._at_work: dict[int, Job] = {}
        self._waiting: deque[Job] = deque()

    @property
    def job_count(self) -> int:
        """Requests at work or waiting."""
        return len(self._at_work) + len(self._waiting)

    def restart(self, now: int) -> list[Job]:
        """The process ended and another begins, cold; give what the old one held."""
        lost = [*self._at_work.values(), *self._waiting]
        self._at_work.clear()
        self._waiting.clear()
        self._started = now
        return lost

    def speed(self, now: int) -> float:
        """Of each slot, now: its own, less what cold, crowding and troubles take."""
        own = self._server
        speed = own.speed
        if self._started is not None and now < self._started + own.slow_start_us:
            speed *= (
                own.slow_start_initial_capacity
                + (1 - own.slow_start_initial_capacity) * (now - self._started) / own.slow_start_us
            )
        if self.job_count > own.overload_threshold and own.overload_slowdown:
            speed *= 1 - own.overload_slowdown * min(
                (self.job_count - own.overload_threshold) / own.overload_threshold, 1.0
            )
        for each in self._slow:
            if each.start_us <= now < each.end_us:
                speed *= each.amount
        return max(speed, 1e-3)

    def error_rate(self, now: int) -> float:
        """The error rate at a time in microseconds: the greatest of the faults, else the server's own."""
        return max(
            [each.amount for each in self._errors if each.start_us <= now < each.end_us],
            default=self._server.error_rate,
        )

    def offer(self, now: int, job: Job) -> OfferResult:
        """Take a job, or turn it away; a job at work says when it `ends`."""
        if len(self._at_work) < self._server.slots:
            self._begin(now, job)
            return OfferResult.IN_SERVICE
        if len(self._waiting) < self._server.queue_limit:
            self._waiting.append(job)
            return OfferResult.QUEUED
        return OfferResult.FULL

    def complete(self, now: int, job: Job) -> tuple[bool, Job | None]:
        """A job is done: whether well, and the job that is at work in its place."""
        del self._at_work[job.attempt]
        well = job.error_draw >= self.error_rate(now)
        if not self._waiting:
            return well, None
        after = self._waiting.popleft()
        self._begin(now, after)
        return well, after

    def is_serving(self, job: Job) -> bool:
        """Whether a job is at work here: not since a restart."""
        return self._at_work.get(job.attempt) is job

    def _begin(self, now: int, job: Job) -> None:
        self._at_work[job.attempt] = job
        job.ends_at = now + max(round(job.work_us / self.speed(now)), 1)
