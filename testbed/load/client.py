"""The clients of one replica: their connections, timeouts and retries."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from typing import cast

import httptools

from testbed import events as log
from testbed.clock import RunClock
from testbed.load.client_behavior import MAX_REQUESTS_PER_ARRIVAL, ClientBehavior
from testbed.scenario import Arrival, ScenarioRun


class ClientRequest:
    """One request to the sidecar: the first attempt for an arrival, or a retry of it."""

    __slots__ = ("arrival", "is_finished", "retry_number", "timeout_at_us", "timer", "was_resent")

    def __init__(self, arrival: Arrival, retry_number: int) -> None:
        self.arrival, self.retry_number = arrival, retry_number
        self.timeout_at_us = 0
        self.is_finished = False
        self.was_resent = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def number(self) -> int:
        """The request number: unique for each arrival and retry."""
        return self.arrival.number * MAX_REQUESTS_PER_ARRIVAL + self.retry_number


class LoadGenerator:
    """Sends the requests of one replica's clients, open loop: at the drawn times, not after responses."""

    def __init__(
        self,
        run: ScenarioRun,
        replica: int,
        address: tuple[str, int],
        clock: RunClock,
        writer: log.EventLogWriter,
        grace_us: int,
        rng: random.Random,
    ) -> None:
        """A response counts as lost `grace_us` after the client timeout of its request."""
        self.run, self.replica, self.clock, self.writer = run, replica, clock, writer
        self._address, self._grace_us = address, grace_us
        self._behavior = ClientBehavior(run, rng)
        self._idle: list[Connection] = []
        self._connections: set[Connection] = set()
        self._connecting = 0
        self._queue: deque[ClientRequest] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self.unfinished = 0  # requests without an outcome, and retries that are scheduled

    # Sending requests

    def start_request(self, arrival: Arrival, retry_number: int = 0) -> None:
        """Send the first attempt for an arrival, or a retry, as soon as a connection is available."""
        self.unfinished += 1
        request = ClientRequest(arrival, retry_number)
        request.timeout_at_us = self._behavior.timeout_at(arrival, self.clock.now())
        self._send(request)

    def _send(self, request: ClientRequest) -> None:
        connection = self._take_idle_connection()
        if connection is not None:
            connection.send(request)
            return
        self._queue.append(request)
        self._open_connection()

    def _open_connection(self) -> None:
        """Open a connection for the queued requests, unless the connection limit is reached."""
        if (
            self._connecting < len(self._queue)
            and len(self._connections) + self._connecting < self.run.clients.max_connections
        ):
            self._connecting += 1
            task = asyncio.get_running_loop().create_task(self._connect())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _take_idle_connection(self) -> Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open():
                return connection
            connection.close()
        return None

    async def _connect(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)  # noqa: FBT003 - its only form
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(1.0):
                await loop.sock_connect(sock, self._address)
            connection = Connection(self, sock)
            await loop.create_connection(lambda: connection, sock=sock)
        except (OSError, TimeoutError):
            sock.close()
            self._connecting -= 1
            if self._queue:
                self._report_not_sent(self._queue.popleft())
            self._open_connection()
            return
        self._connecting -= 1
        self._connections.add(connection)
        self.release(connection)

    def release(self, connection: Connection) -> None:
        """Send the next queued request on a connection that is ready, or keep the connection idle."""
        now = self.clock.now()
        while self._queue:
            request = self._queue.popleft()
            if request.timeout_at_us > now:
                connection.send(request)
                return
            self._report_not_sent(request)  # timed out while it was queued
        self._idle.append(connection)

    def _report_not_sent(self, request: ClientRequest) -> None:
        arrival = request.arrival
        self.writer.write(
            log.RequestNotSent(
                at_us=self.clock.now(),
                request=request.number,
                client_request=arrival.number,
                replica=self.replica,
                service_class=arrival.service_class,
                scheduled_at_us=arrival.at_us,
            )
        )
        self._finish(request, may_retry=True)

    # Notifications from connections

    def request_sent(self, request: ClientRequest, connection: Connection) -> None:
        """Log that a request was written completely, and start its timer."""
        arrival, now = request.arrival, self.clock.now()
        self.writer.write(
            log.RequestSent(
                at_us=now,
                request=request.number,
                client_request=arrival.number,
                replica=self.replica,
                service_class=arrival.service_class,
                tenant=arrival.tenant,
                scheduled_at_us=arrival.at_us,
                timeout_at_us=request.timeout_at_us,
            )
        )
        wait_s = self.clock.wait_s(request.timeout_at_us + self._grace_us)
        request.timer = asyncio.get_running_loop().call_later(wait_s, connection.time_out)

    def report_outcome(
        self,
        request: ClientRequest,
        status: int,
        attempt: int = -1,
        retry_after_us: int = 0,
        *,
        timed_out: bool = False,
    ) -> None:
        """Log the outcome of a request: a response, or status 0 where none came."""
        event = log.ResponseReceived(
            at_us=self.clock.now(),
            request=request.number,
            status=status,
            attempt=attempt,
            timed_out=timed_out,
        )
        self.writer.write(event)
        self._finish(request, retry_after_us, may_retry=self._behavior.is_retryable(request.arrival, status))

    def connection_closed(
        self, connection: Connection, request: ClientRequest | None, *, may_have_been_read: bool
    ) -> None:
        """Remove a closed connection, and resend or fail the request that was in flight on it."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._open_connection()
        if request is None or request.is_finished:
            return
        if request.timer is not None:
            request.timer.cancel()
        if may_have_been_read or request.was_resent:
            self.report_outcome(request, 0)
        else:
            # The request crossed the close of an idle connection, so it was not processed and is resent once.
            request.was_resent = True
            self._send(request)

    def _finish(self, request: ClientRequest, retry_after_us: int = 0, *, may_retry: bool) -> None:
        if request.is_finished:
            return
        request.is_finished = True
        if request.timer is not None:
            request.timer.cancel()
        self.unfinished -= 1
        if not may_retry:
            return
        wait_us = self._behavior.retry_delay_us(
            request.arrival, request.retry_number, retry_after_us, self.clock.now()
        )
        if wait_us is not None:
            self.unfinished += 1
            asyncio.get_running_loop().call_later(
                wait_us / 1e6, self._retry, request.arrival, request.retry_number + 1
            )

    def _retry(self, arrival: Arrival, retry_number: int) -> None:
        self.unfinished -= 1
        self.start_request(arrival, retry_number)

    def close(self) -> None:
        """Cancel all tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        for connection in list(self._connections):
            connection.close()


class Connection(asyncio.Protocol):
    """One connection to the sidecar, with one request at a time."""

    def __init__(self, generator: LoadGenerator, sock: socket.socket) -> None:
        self._generator, self._socket = generator, sock
        self._transport: asyncio.Transport | None = None
        self._request: ClientRequest | None = None
        self._has_received = False  # response bytes of the current request
        self._was_reset = False
        self._reset_parser()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self._retry_after_us = 0
        self._keep_alive = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by asyncio)."""
        # uvloop's transports are not subclasses of asyncio.Transport, so no isinstance check is possible.
        self._transport = cast(asyncio.Transport, transport)

    def is_open(self) -> bool:
        """Whether the kernel has seen neither an end of stream nor an error on the socket."""
        if self._transport is None or self._transport.is_closing():
            return False
        try:
            return self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False

    def send(self, request: ClientRequest) -> None:
        """Write a request; the connection must be open and idle."""
        assert self._transport is not None
        self._request, self._has_received = request, False
        self._transport.write(self._encode(request))
        self._generator.request_sent(request, self)

    def _encode(self, request: ClientRequest) -> bytes:
        run, arrival = self._generator.run, request.arrival
        service_class = run.classes[arrival.service_class]
        is_get = service_class.idempotency == "read_like"
        body = b"" if is_get else bytes(run.clients.body_bytes)
        timeout_us = max(request.timeout_at_us - self._generator.clock.now(), 1_000)
        lines = [
            b"%b /api/%x?work=%d HTTP/1.1" % (b"GET" if is_get else b"POST", arrival.key, arrival.work_us),
            b"Host: origin.svc",
            b"Request-Id: %016x" % request.number,
            b"Request-Class: %b" % service_class.name.encode(),
            b"Request-Timeout: %.3f" % (timeout_us / 1e6),
        ]
        if arrival.tenant >= 0:
            lines.append(b"Tenant: %b" % run.tenants[arrival.tenant].name.encode())
        if request.retry_number:
            lines.append(b"Client-Retry: 1")
        if service_class.idempotency == "idempotency_key":
            lines.append(b"Idempotency-Key: %x" % request.number)
        if not is_get:
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join([*lines, b"", b""]) + body

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; close the connection on malformed ones."""
        self._has_received = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    # Callbacks of the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take Retry-After (seconds) and Connection from a response header."""
        if name.lower() == b"retry-after":
            self._retry_after_us = round(float(value) * 1e6)
        elif name.lower() == b"connection" and value.lower() == b"close":
            self._keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Append a part of the response body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Report a complete response to the load generator."""
        request, self._request = self._request, None
        status, body, retry_after_us, keep_alive = (
            self._parser.get_status_code(),
            self._body,
            self._retry_after_us,
            self._keep_alive,
        )
        self._reset_parser()
        if request is None or status < 200:
            self._request = request  # an interim response, or one without a request
            return
        if not request.is_finished:
            self._generator.report_outcome(
                request,
                status,
                _attempt_number(body, request.number) if status == 200 else -1,
                retry_after_us,
            )
        if keep_alive:
            self._generator.release(self)
        else:
            self.close()

    def time_out(self) -> None:
        """Fail the request: its client timeout and the grace period have passed."""
        request, self._request = self._request, None
        if request is not None and not request.is_finished:
            self._generator.report_outcome(request, 0, timed_out=True)
        self.close()

    def eof_received(self) -> None:
        """Record whether the end of the stream was a reset."""
        # When a close crosses written data, asyncio reports an end of stream, and the socket holds a reset.
        self._was_reset = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the load generator whether the request in flight may have been read."""
        # A reset means that the request was not read; after a plain end of stream it may have been.
        is_reset = self._was_reset or isinstance(exc, (ConnectionResetError, BrokenPipeError))
        request, self._request = self._request, None
        self._generator.connection_closed(
            self, request, may_have_been_read=self._has_received or not is_reset
        )

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()


def _attempt_number(body: bytes, request_number: int) -> int:
    """The attempt number in a response body; -1 if the body is malformed or of another request."""
    fields = body.split(b" ")
    try:
        return int(fields[1], 16) if len(fields) == 2 and int(fields[0], 16) == request_number else -1
    except ValueError:
        return -1
