"""Simulated servers: queueing servers with connections, whose responses go to replicas over links."""

from __future__ import annotations

import random
from collections.abc import Callable

from testbed import events as log
from testbed.links import NEVER, Links
from testbed.queueing_server import Job, OfferResult, QueueingServer
from testbed.scenario.scenario_run import ScenarioRun, Server
from testbed.simulation.queue import EventQueue

Sink = Callable[[log.Event], None]  # receives each event of the log, in order
# Called at the replica with the outcome of an attempt: "served", "error", "full", "lost" or "cut off".
OnOutcome = Callable[[str], None]
_DOWN_JOB_COUNT = 1 << 30  # more than any running server holds


class SimulatedServer:
    """One server: its process, its connections and the attempts that it holds."""

    def __init__(
        self,
        run: ScenarioRun,
        server: Server,
        queue: EventQueue,
        links: Links,
        sink: Sink,
        rng: random.Random,
    ) -> None:
        self.server = server
        self.is_up = True
        self.incarnation = 0  # of the process; connections to an earlier one are closed
        self.open_connections = 0
        self._queueing_server = QueueingServer(server, run.faults)
        self._queue, self._sink, self._rng = queue, sink, rng
        self.party = server.party
        self._run, self._links = run, links
        self._pending: dict[int, tuple[int, int, OnOutcome]] = {}  # by attempt: replica, request, callback

    @property
    def job_count(self) -> int:
        """The number of jobs in service or queued; for a server that is down, more than any other has."""
        return self._queueing_server.job_count if self.is_up else _DOWN_JOB_COUNT

    def change_state(self, state: str) -> None:
        """Apply and log a state change of the scenario run; down or gone loses all jobs."""
        now = self._queue.now
        if state in ("down", "gone"):
            self.is_up = False
            self.incarnation += 1
            self.open_connections = 0
            for job in self._queueing_server.restart(now):
                self._end_attempt(job.attempt, "lost")
        elif state == "up":
            self.is_up = True
            self._queueing_server.restart(now)
        self._sink(log.ServerStateChanged(at_us=now, server=self.server.number, state=state))

    def receive_attempt(
        self,
        replica: int,
        request: int,
        attempt: int,
        sent_at: int,
        work_us: int,
        incarnation: int,
        on_outcome: OnOutcome,
    ) -> None:
        """Handle an attempt, received in full on a connection to the given incarnation of the process.

        If that process has ended, the attempt is lost and is not logged as received.
        """
        now = self._queue.now
        if not self.is_up or incarnation != self.incarnation:
            self._respond(replica, on_outcome, "lost")
            return
        self._sink(
            log.AttemptReceived(
                at_us=now,
                request=request,
                replica=replica,
                server=self.server.number,
                attempt=attempt,
                sent_at_us=sent_at,
                work_us=work_us,
            )
        )
        self._pending[attempt] = replica, request, on_outcome
        job = Job(attempt, work_us, self._rng.random())
        result = self._queueing_server.offer(now, job)
        if result is OfferResult.FULL:
            self._end_attempt(attempt, "full")
        elif result is OfferResult.IN_SERVICE:
            self._queue.at(job.ends_at, self._complete, job)

    def _complete(self, job: Job) -> None:
        if not self._queueing_server.is_serving(job):
            return  # the process ended before the job
        succeeded, next_job = self._queueing_server.complete(self._queue.now, job)
        if next_job is not None:
            self._queue.at(next_job.ends_at, self._complete, next_job)
        self._end_attempt(job.attempt, "served" if succeeded else "error")

    def _end_attempt(self, attempt: int, outcome: str) -> None:
        replica, request, on_outcome = self._pending.pop(attempt)
        self._sink(log.AttemptEnded(at_us=self._queue.now, attempt=attempt, request=request, outcome=outcome))
        self._respond(replica, on_outcome, outcome)

    def _respond(self, replica: int, on_outcome: OnOutcome, outcome: str) -> None:
        """Call back when the response reaches the replica; a fault of the link may reset or hold it."""
        link = self._links.between(self.party, self._run.replicas[replica].party)
        if link.resets_response(self._queue.now, self._rng.random()):
            outcome = "cut off"
        at = link.arrival(self._queue.now)
        if at < NEVER:
            self._queue.at(at, on_outcome, outcome)
