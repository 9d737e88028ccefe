"""Modelled servers: stations with connections, and what a copy's attempt meets on its way there and back."""

from __future__ import annotations

import random
from collections.abc import Callable

from testbed import events as log
from testbed.links import NEVER, Links
from testbed.queueing_server import Job, OfferResult, QueueingServer
from testbed.scenario.scenario_run import ScenarioRun, Server
from testbed.simulation.queue import EventQueue

Sink = Callable[[log.Event], None]
# Told at the copy: how the attempt ended there (served, error, full, lost, refused, cut off).
Heard = Callable[[str], None]


class ModelServer:
    """One server and its process."""

    def __init__(
        self,
        day: ScenarioRun,
        server: Server,
        queue: EventQueue,
        links: Links,
        sink: Sink,
        rng: random.Random,
    ) -> None:
        self.server = server
        self.is_up = True
        self.epoch = 0  # of its process; connections to an older one are gone
        self.open = 0  # connections
        self._queueing_server = QueueingServer(server, day.faults)
        self._queue, self._sink, self._rng = queue, sink, rng
        self.party = server.party
        self._day, self._links = day, links
        self._owed: dict[int, tuple[int, int, Heard]] = {}  # by attempt: copy, request, whom to tell

    @property
    def held(self) -> int:
        """Requests at work or waiting; a process that is not there holds more than any."""
        return self._queueing_server.job_count if self.is_up else 1 << 30

    def live(self, what: str) -> None:
        """Its process ends, begins, drains or goes, as the day has it."""
        now = self._queue.now
        if what in ("down", "gone"):
            self.is_up = False
            self.epoch += 1
            self.open = 0
            for job in self._queueing_server.restart(now):
                self._end(job.attempt, "lost")
        elif what == "up":
            self.is_up = True
            self._queueing_server.restart(now)
        self._sink(log.ServerStateChanged(at_us=now, server=self.server.number, state=what))

    def arrive(
        self, copy: int, request: int, attempt: int, sent: int, work: int, epoch: int, heard: Heard
    ) -> None:
        """The last byte of an attempt is here, on a connection to the process of `epoch`."""
        now = self._queue.now
        if not self.is_up or epoch != self.epoch:
            self._tell(copy, heard, "lost")
            return
        self._sink(
            log.AttemptReceived(
                at_us=now,
                request=request,
                replica=copy,
                server=self.server.number,
                attempt=attempt,
                sent_at_us=sent,
                work_us=work,
            )
        )
        self._owed[attempt] = copy, request, heard
        job = Job(attempt, work, self._rng.random())
        place = self._queueing_server.offer(now, job)
        if place is OfferResult.FULL:
            self._end(attempt, "full")
        elif place is OfferResult.IN_SERVICE:
            self._queue.at(job.ends_at, self._done, job)

    def _done(self, job: Job) -> None:
        if not self._queueing_server.is_serving(job):
            return
        well, after = self._queueing_server.complete(self._queue.now, job)
        if after is not None:
            self._queue.at(after.ends_at, self._done, after)
        self._end(job.attempt, "served" if well else "error")

    def _end(self, attempt: int, how: str) -> None:
        copy, request, heard = self._owed.pop(attempt)
        self._sink(log.AttemptEnded(at_us=self._queue.now, attempt=attempt, request=request, outcome=how))
        self._tell(copy, heard, how)

    def _tell(self, copy: int, heard: Heard, how: str) -> None:
        link = self._links.between(self.party, self._day.replicas[copy].party)
        if link.resets_response(self._queue.now, self._rng.random()):
            how = "cut off"
        at = link.arrival(self._queue.now)
        if at < NEVER:
            self._queue.at(at, heard, how)
