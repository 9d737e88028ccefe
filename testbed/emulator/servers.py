"""The stand-in for a server: serves requests by a queueing server, and answers as the platform does."""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Callable

from testbed import events as log
from testbed.clock import RunClock
from testbed.emulator.message import MalformedRequestError, Requests, answer, header
from testbed.emulator.switch import Gate, Handler, Passage
from testbed.queueing_server import Job, OfferResult, QueueingServer
from testbed.scenario.scenario_run import Fault, Server

_WORK = re.compile(rb"[?&]work=([0-9]{1,12})")
_ID = re.compile(rb"[0-9a-f]{16}")
FULL = answer(b"503 Full", more=b"Not-Started: 1\r\n")
BROKEN = answer(b"500 Broken")


class StandIn:
    """One server with a gate for each copy."""

    def __init__(
        self,
        server: Server,
        troubles: tuple[Fault, ...],
        clock: RunClock,
        writer: log.EventLogWriter,
        number_attempt: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self.server = server
        self.gates: list[Gate] = []
        self.open = 0  # connections
        self._queueing_server = QueueingServer(server, troubles)
        self._clock, self._writer, self._rng = clock, writer, rng
        self._number_attempt = number_attempt
        self._asked: dict[int, _Connection] = {}  # by attempt

    def connected(self, copy: int, passage: Passage) -> Handler:
        """Create the handler of a new connection; reset it above the server's connection limit."""
        self.open += 1
        if self.open > self.server.max_connections:
            passage.reset()
        return _Connection(self, copy, passage)

    def live(self, what: str) -> None:
        """Its process ends, begins, drains or goes, as the day has it."""
        now = self._clock.now()
        if what in ("down", "gone"):
            for gate in self.gates:
                gate.down()
            for job in self._queueing_server.restart(now):
                self._ended(job.attempt, "lost")
        elif what == "up":
            self._queueing_server.restart(now)
            for gate in self.gates:
                gate.up()
        self._writer.write(log.ServerStateChanged(at_us=now, server=self.server.number, state=what))

    def asked(self, connection: _Connection, request: int, work: int, sent: int) -> None:
        """A request came whole."""
        now = self._clock.now()
        attempt = self._number_attempt()
        self._writer.write(
            log.AttemptReceived(
                at_us=now,
                request=request,
                replica=connection.copy,
                server=self.server.number,
                attempt=attempt,
                sent_at_us=sent,
                work_us=work,
            )
        )
        connection.requests[attempt] = request
        self._asked[attempt] = connection
        job = Job(attempt, work, self._rng.random())
        place = self._queueing_server.offer(now, job)
        if place is OfferResult.FULL:
            self._ended(attempt, "full")
        elif place is OfferResult.IN_SERVICE:
            self._work(job)

    def _work(self, job: Job) -> None:
        asyncio.get_running_loop().call_later(self._clock.wait_s(job.ends_at), self._done, job)

    def _done(self, job: Job) -> None:
        if not self._queueing_server.is_serving(job):
            return  # its process ended meanwhile
        well, after = self._queueing_server.complete(self._clock.now(), job)
        if after is not None:
            self._work(after)
        self._ended(job.attempt, "served" if well else "error")

    def _ended(self, attempt: int, how: str) -> None:
        connection = self._asked.pop(attempt)
        request = connection.requests.pop(attempt)
        self._writer.write(
            log.AttemptEnded(at_us=self._clock.now(), attempt=attempt, request=request, outcome=how)
        )
        if how == "served":
            connection.answer(answer(b"200 OK", b"%x %x" % (request, attempt)))
        elif how != "lost":
            connection.answer(FULL if how == "full" else BROKEN)

    def connection(self, copy: int, *, opened: bool) -> None:
        """Log that a connection from a replica was opened or closed."""
        at = self._clock.now()
        self._writer.write(
            log.ConnectionChanged(at_us=at, replica=copy, server=self.server.number, opened=opened)
        )

    def now(self) -> int:
        """Microseconds since the start of the run."""
        return self._clock.now()


class _Connection:
    """The server's end of one connection."""

    def __init__(self, owner: StandIn, copy: int, passage: Passage) -> None:
        self.copy = copy
        self.requests: dict[int, int] = {}  # by attempt
        self._owner, self._passage = owner, passage
        self._reading = Requests()
        self._began = 0
        owner.connection(copy, opened=True)

    def received(self, data: bytes) -> None:
        if self._reading.is_between:
            self._began = self._owner.now()
        try:
            for head, _ in self._reading.feed(data):
                self._asked(head)
        except MalformedRequestError:
            self._passage.reset()

    def _asked(self, head: bytes) -> None:
        line = head.partition(b"\r\n")[0]
        work, name = _WORK.search(line), header(head, b"request-id")
        if work is None or not _ID.fullmatch(name):
            self.answer(answer(b"404 Unknown" if not name else b"400 Bad"))
            return
        self._owner.asked(self, int(name, 16), int(work[1]), self._began)

    def answer(self, message: bytes) -> None:
        self._passage.send(message)

    def ended(self) -> None:
        self._owner.open -= 1
        self._owner.connection(self.copy, opened=False)
