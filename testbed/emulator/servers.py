"""The stand-in for a server: serves requests by the queueing model of `QueueingServer`, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Callable

from testbed import events as log
from testbed.clock import RunClock
from testbed.emulator.message import MalformedRequestError, RequestParser, encode_response, header
from testbed.emulator.switch import Gate, Handler, SwitchConnection
from testbed.queueing_server import Job, OfferResult, QueueingServer
from testbed.scenario.scenario_run import Fault, Server

_WORK = re.compile(rb"[?&]work=([0-9]{1,12})")
_ID = re.compile(rb"[0-9a-f]{16}")
FULL_RESPONSE = encode_response(b"503 Full", extra_headers=b"Not-Started: 1\r\n")
ERROR_RESPONSE = encode_response(b"500 Broken")


class StandInServer:
    """One server, with a gate for each replica."""

    def __init__(
        self,
        server: Server,
        faults: tuple[Fault, ...],
        clock: RunClock,
        writer: log.EventLogWriter,
        number_attempt: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self.server = server
        self.gates: list[Gate] = []
        self.open_connections = 0
        self._queueing_server = QueueingServer(server, faults)
        self._clock, self._writer, self._rng = clock, writer, rng
        self._number_attempt = number_attempt
        self._connections: dict[int, _Connection] = {}  # by attempt number

    def connected(self, replica: int, transport: SwitchConnection) -> Handler:
        """Create the handler of a new connection; reset it above the server's connection limit."""
        self.open_connections += 1
        if self.open_connections > self.server.max_connections:
            transport.reset()
        return _Connection(self, replica, transport)

    def change_state(self, state: str) -> None:
        """Apply a scheduled change of the server's state; a process that exits loses its requests."""
        now = self._clock.now()
        if state in ("down", "gone"):
            for gate in self.gates:
                gate.down()
            for job in self._queueing_server.restart(now):
                self._end_attempt(job.attempt, "lost")
        elif state == "up":
            self._queueing_server.restart(now)
            for gate in self.gates:
                gate.up()
        self._writer.write(log.ServerStateChanged(at_us=now, server=self.server.number, state=state))

    def receive_request(self, connection: _Connection, request: int, work_us: int, sent_at_us: int) -> None:
        """Log an attempt and start or queue it, or reject it if the server is full."""
        now = self._clock.now()
        attempt = self._number_attempt()
        self._writer.write(
            log.AttemptReceived(
                at_us=now,
                request=request,
                replica=connection.replica,
                server=self.server.number,
                attempt=attempt,
                sent_at_us=sent_at_us,
                work_us=work_us,
            )
        )
        connection.requests[attempt] = request
        self._connections[attempt] = connection
        job = Job(attempt, work_us, self._rng.random())
        admission = self._queueing_server.offer(now, job)
        if admission is OfferResult.FULL:
            self._end_attempt(attempt, "full")
        elif admission is OfferResult.IN_SERVICE:
            self._schedule_end(job)

    def _schedule_end(self, job: Job) -> None:
        asyncio.get_running_loop().call_later(self._clock.wait_s(job.ends_at), self._finish_job, job)

    def _finish_job(self, job: Job) -> None:
        if not self._queueing_server.is_serving(job):
            return  # the server process was restarted in the meantime
        succeeded, next_job = self._queueing_server.complete(self._clock.now(), job)
        if next_job is not None:
            self._schedule_end(next_job)
        self._end_attempt(job.attempt, "served" if succeeded else "error")

    def _end_attempt(self, attempt: int, outcome: str) -> None:
        connection = self._connections.pop(attempt)
        request = connection.requests.pop(attempt)
        self._writer.write(
            log.AttemptEnded(at_us=self._clock.now(), attempt=attempt, request=request, outcome=outcome)
        )
        if outcome == "served":
            connection.send(encode_response(b"200 OK", b"%x %x" % (request, attempt)))
        elif outcome != "lost":
            connection.send(FULL_RESPONSE if outcome == "full" else ERROR_RESPONSE)

    def log_connection(self, replica: int, *, opened: bool) -> None:
        """Log that a connection from a replica was opened or closed."""
        at = self._clock.now()
        self._writer.write(
            log.ConnectionChanged(at_us=at, replica=replica, server=self.server.number, opened=opened)
        )

    def now(self) -> int:
        """Microseconds since the start of the run."""
        return self._clock.now()


class _Connection:
    """The server side of one connection."""

    def __init__(self, owner: StandInServer, replica: int, transport: SwitchConnection) -> None:
        self.replica = replica
        self.requests: dict[int, int] = {}  # by attempt number
        self._owner, self._transport = owner, transport
        self._parser = RequestParser()
        self._request_start_us = 0
        owner.log_connection(replica, opened=True)

    def received(self, data: bytes) -> None:
        if self._parser.is_between_requests:
            self._request_start_us = self._owner.now()
        try:
            for head, _ in self._parser.feed(data):
                self._on_request(head)
        except MalformedRequestError:
            self._transport.reset()

    def _on_request(self, head: bytes) -> None:
        line = head.partition(b"\r\n")[0]
        work_match, request_id = _WORK.search(line), header(head, b"request-id")
        if work_match is None or not _ID.fullmatch(request_id):
            self.send(encode_response(b"404 Unknown" if not request_id else b"400 Bad"))
            return
        self._owner.receive_request(self, int(request_id, 16), int(work_match[1]), self._request_start_us)

    def send(self, message: bytes) -> None:
        self._transport.send(message)

    def closed(self) -> None:
        self._owner.open_connections -= 1
        self._owner.log_connection(self.replica, opened=False)
