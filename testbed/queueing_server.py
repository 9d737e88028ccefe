"""A modelled server without I/O: slots, a bounded queue, slow start, overload, slowness and errors.

Both engines use it.  Times are microseconds since the start of the run.  The caller keeps the clock and calls
`complete` when a job ends.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum, unique

from testbed.scenario.scenario_run import Fault, Server


@unique
class OfferResult(Enum):
    """What the server did with a job that was offered to it."""

    IN_SERVICE = "in service"
    QUEUED = "queued"
    FULL = "full"  # rejected: all slots and the queue are occupied


@dataclass(slots=True)
class Job:
    """An attempt at a server."""

    attempt: int
    work_us: int  # the time in service at speed 1
    error_draw: float  # random, from 0 to 1, drawn by the caller; the job fails if it is below the error rate
    ends_at: int = 0  # set when the job enters service


class QueueingServer:
    """One server, whose process can be restarted."""

    def __init__(self, server: Server, faults: tuple[Fault, ...] = ()) -> None:
        self._server = server
        self._slowness = [fault for fault in faults if fault.kind == "slow" and server.party in fault.parties]
        self._errors = [fault for fault in faults if fault.kind == "errors" and server.party in fault.parties]
        self._started_at: int | None = None  # None: its slow start ended before the run
        self._in_service: dict[int, Job] = {}
        self._queue: deque[Job] = deque()

    @property
    def job_count(self) -> int:
        """The number of jobs in service or queued."""
        return len(self._in_service) + len(self._queue)

    def restart(self, now: int) -> list[Job]:
        """Replace the process by a new one in slow start; return the jobs that the old one lost."""
        lost = [*self._in_service.values(), *self._queue]
        self._in_service.clear()
        self._queue.clear()
        self._started_at = now
        return lost

    def speed(self, now: int) -> float:
        """The speed of each slot: the server's own, reduced by slow start, overload and faults."""
        server = self._server
        speed = server.speed
        if self._started_at is not None and now < self._started_at + server.slow_start_us:
            speed *= (
                server.slow_start_initial_capacity
                + (1 - server.slow_start_initial_capacity) * (now - self._started_at) / server.slow_start_us
            )
        if self.job_count > server.overload_threshold and server.overload_slowdown:
            speed *= 1 - server.overload_slowdown * min(
                (self.job_count - server.overload_threshold) / server.overload_threshold, 1.0
            )
        for fault in self._slowness:
            if fault.start_us <= now < fault.end_us:
                speed *= fault.amount
        return max(speed, 1e-3)

    def error_rate(self, now: int) -> float:
        """The error rate: the highest of the active faults, or the server's own without such a fault."""
        return max(
            [fault.amount for fault in self._errors if fault.start_us <= now < fault.end_us],
            default=self._server.error_rate,
        )

    def offer(self, now: int, job: Job) -> OfferResult:
        """Put a job into service or into the queue, or reject it; sets `ends_at` of a job in service."""
        if len(self._in_service) < self._server.slots:
            self._start(now, job)
            return OfferResult.IN_SERVICE
        if len(self._queue) < self._server.queue_limit:
            self._queue.append(job)
            return OfferResult.QUEUED
        return OfferResult.FULL

    def complete(self, now: int, job: Job) -> tuple[bool, Job | None]:
        """End a job; return whether it succeeded, and the queued job that enters service in its place."""
        del self._in_service[job.attempt]
        succeeded = job.error_draw >= self.error_rate(now)
        if not self._queue:
            return succeeded, None
        next_job = self._queue.popleft()
        self._start(now, next_job)
        return succeeded, next_job

    def is_serving(self, job: Job) -> bool:
        """Whether a job is in service; a restart ends the service of all jobs."""
        return self._in_service.get(job.attempt) is job

    def _start(self, now: int, job: Job) -> None:
        self._in_service[job.attempt] = job
        job.ends_at = now + max(round(job.work_us / self.speed(now)), 1)
