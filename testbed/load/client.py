"""One copy's application: its connections, its patience and its retries."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from typing import cast

import httptools

from testbed import events as log
from testbed.clock import DayClock
from testbed.load.client_behavior import MAX_REQUESTS_PER_ARRIVAL, ClientBehavior
from testbed.scenario import Arrival, ScenarioRun


class Ask:
    """One try: a request of its own to the sidecar."""

    __slots__ = ("arrival", "due", "is_over", "place", "sent_again", "timer")

    def __init__(self, arrival: Arrival, place: int) -> None:
        self.arrival, self.place = arrival, place
        self.due = 0
        self.is_over = False
        self.sent_again = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def number(self) -> int:
        """The request number: unique for each arrival and retry."""
        return self.arrival.number * MAX_REQUESTS_PER_ARRIVAL + self.place


class Application:
    """The clients of one copy."""

    def __init__(
        self,
        day: ScenarioRun,
        copy: int,
        address: tuple[str, int],
        clock: DayClock,
        writer: log.EventLogWriter,
        grace_us: int,
        rng: random.Random,
    ) -> None:
        """An answer is waited for until `grace_us` after patience is up, and is then held to be lost."""
        self.day, self.copy, self.clock, self.writer = day, copy, clock, writer
        self._address, self._grace_us = address, grace_us
        self._behavior = ClientBehavior(day, rng)
        self._idle: list[Connection] = []
        self._all: set[Connection] = set()
        self._connecting = 0
        self._waiting: deque[Ask] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self.owed = 0  # tries that are not over

    # Tries

    def begin(self, arrival: Arrival, place: int = 0) -> None:
        """A first try is due, or a retry of it."""
        self.owed += 1
        ask = Ask(arrival, place)
        ask.due = self._behavior.timeout_at(arrival, self.clock.now())
        self._go(ask)

    def _go(self, ask: Ask) -> None:
        connection = self._usable()
        if connection is not None:
            connection.ask(ask)
            return
        self._waiting.append(ask)
        self._open_more()

    def _open_more(self) -> None:
        """Another connection for what waits, if there may be one."""
        if (
            self._connecting < len(self._waiting)
            and len(self._all) + self._connecting < self.day.clients.max_connections
        ):
            self._connecting += 1
            task = asyncio.get_running_loop().create_task(self._connect())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _usable(self) -> Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open():
                return connection
            connection.close()
        return None

    async def _connect(self) -> None:
        own = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        own.setblocking(False)  # noqa: FBT003 - its only form
        own.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(1.0):
                await loop.sock_connect(own, self._address)
            connection = Connection(self, own)
            await loop.create_connection(lambda: connection, sock=own)
        except (OSError, TimeoutError):
            own.close()
            self._connecting -= 1
            if self._waiting:
                self._unreached(self._waiting.popleft())
            self._open_more()
            return
        self._connecting -= 1
        self._all.add(connection)
        self.free(connection)

    def free(self, connection: Connection) -> None:
        """A connection can take a request."""
        now = self.clock.now()
        while self._waiting:
            ask = self._waiting.popleft()
            if ask.due > now:
                connection.ask(ask)
                return
            self._unreached(ask)  # nobody waits for it any more
        self._idle.append(connection)

    def _unreached(self, ask: Ask) -> None:
        arrival = ask.arrival
        self.writer.write(
            log.RequestNotSent(
                at_us=self.clock.now(),
                request=ask.number,
                client_request=arrival.number,
                replica=self.copy,
                service_class=arrival.service_class,
                scheduled_at_us=arrival.at_us,
            )
        )
        self._over(ask, may_retry=True)

    # What connections say

    def written(self, ask: Ask, connection: Connection) -> None:
        """A request left whole."""
        arrival, now = ask.arrival, self.clock.now()
        self.writer.write(
            log.RequestSent(
                at_us=now,
                request=ask.number,
                client_request=arrival.number,
                replica=self.copy,
                service_class=arrival.service_class,
                tenant=arrival.tenant,
                scheduled_at_us=arrival.at_us,
                timeout_at_us=ask.due,
            )
        )
        wait_s = self.clock.wait_s(ask.due + self._grace_us)
        ask.timer = asyncio.get_running_loop().call_later(wait_s, connection.give_up)

    def answered(
        self, ask: Ask, status: int, attempt: int = -1, after_us: int = 0, *, timed_out: bool = False
    ) -> None:
        """A try is over: by an answer, or (status 0) without one."""
        event = log.ResponseReceived(
            at_us=self.clock.now(), request=ask.number, status=status, attempt=attempt, timed_out=timed_out
        )
        self.writer.write(event)
        self._over(ask, after_us, may_retry=self._behavior.may_retry_after(ask.arrival, status))

    def broken(self, connection: Connection, ask: Ask | None, *, was_read: bool) -> None:
        """A connection ended, perhaps under a request."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._open_more()
        if ask is None or ask.is_over:
            return
        if ask.timer is not None:
            ask.timer.cancel()
        if was_read or ask.sent_again:
            self.answered(ask, 0)
        else:
            # It crossed a close between requests: the protocol has it sent once more.
            ask.sent_again = True
            self._go(ask)

    def _over(self, ask: Ask, after_us: int = 0, *, may_retry: bool) -> None:
        if ask.is_over:
            return
        ask.is_over = True
        if ask.timer is not None:
            ask.timer.cancel()
        self.owed -= 1
        if not may_retry:
            return
        wait_us = self._behavior.retry_delay_us(ask.arrival, ask.place, after_us, self.clock.now())
        if wait_us is not None:
            self.owed += 1
            asyncio.get_running_loop().call_later(wait_us / 1e6, self._again, ask.arrival, ask.place + 1)

    def _again(self, arrival: Arrival, place: int) -> None:
        self.owed -= 1
        self.begin(arrival, place)

    def close(self) -> None:
        """Cancel all tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        for connection in list(self._all):
            connection.close()


class Connection(asyncio.Protocol):
    """One connection to the copy, with one request at a time."""

    def __init__(self, owner: Application, own: socket.socket) -> None:
        self._owner, self._socket = owner, own
        self._transport: asyncio.Transport | None = None
        self._ask: Ask | None = None
        self._has_heard = False  # something of the answer came
        self._was_reset = False
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self._after_us = 0
        self._keeps = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, as asyncio calls it."""
        # The event loop's own class is none of asyncio's, so there is nothing to check.
        self._transport = cast(asyncio.Transport, transport)

    def is_open(self) -> bool:
        """Whether the other side has not closed it, as far as the system knows."""
        if self._transport is None or self._transport.is_closing():
            return False
        try:
            return self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False

    def ask(self, ask: Ask) -> None:
        """Write a request; the connection must be open and idle."""
        assert self._transport is not None
        self._ask, self._has_heard = ask, False
        self._transport.write(self._worded(ask))
        self._owner.written(ask, self)

    def _worded(self, ask: Ask) -> bytes:
        day, arrival = self._owner.day, ask.arrival
        kind = day.classes[arrival.service_class]
        is_get = kind.idempotency == "read_like"
        body = b"" if is_get else bytes(day.clients.body_bytes)
        timeout_us = max(ask.due - self._owner.clock.now(), 1_000)
        lines = [
            b"%b /api/%x?work=%d HTTP/1.1" % (b"GET" if is_get else b"POST", arrival.key, arrival.work_us),
            b"Host: origin.svc",
            b"Request-Id: %016x" % ask.number,
            b"Request-Class: %b" % kind.name.encode(),
            b"Request-Timeout: %.3f" % (timeout_us / 1e6),
        ]
        if arrival.tenant >= 0:
            lines.append(b"Tenant: %b" % day.tenants[arrival.tenant].name.encode())
        if ask.place:
            lines.append(b"Client-Retry: 1")
        if kind.idempotency == "idempotency_key":
            lines.append(b"Idempotency-Key: %x" % ask.number)
        if not is_get:
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join([*lines, b"", b""]) + body

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; close the connection on malformed ones."""
        self._has_heard = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    # The parser's calls

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take Retry-After (seconds) and Connection from a response header."""
        if name.lower() == b"retry-after":
            self._after_us = round(float(value) * 1e6)
        elif name.lower() == b"connection" and value.lower() == b"close":
            self._keeps = False

    def on_body(self, body: bytes) -> None:
        """Append a part of the response body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Report a complete response to the owner."""
        ask, self._ask = self._ask, None
        status, body, after_us, keeps = (
            self._parser.get_status_code(),
            self._body,
            self._after_us,
            self._keeps,
        )
        self._reset()
        if ask is None or status < 200:
            self._ask = ask  # an interim answer, or one that nobody asked for
            return
        if not ask.is_over:
            self._owner.answered(ask, status, _attempt(body, ask.number) if status == 200 else -1, after_us)
        if keeps:
            self._owner.free(self)
        else:
            self.close()

    def give_up(self) -> None:
        """Patience and grace are over."""
        ask, self._ask = self._ask, None
        if ask is not None and not ask.is_over:
            self._owner.answered(ask, 0, timed_out=True)
        self.close()

    def eof_received(self) -> None:
        """Note whether the end of the stream hides a reset."""
        # A close that crossed what was written is an end here, and a reset behind it.
        self._was_reset = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the owner whether the request in flight may have been read."""
        # A reset says that the request was not read; a mere end may come after it was.
        is_reset = self._was_reset or isinstance(exc, (ConnectionResetError, BrokenPipeError))
        ask, self._ask = self._ask, None
        self._owner.broken(self, ask, was_read=self._has_heard or not is_reset)

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()


def _attempt(body: bytes, request: int) -> int:
    """The attempt that a body says it was made for; -1 where it is not of this request."""
    words = body.split(b" ")
    try:
        return int(words[1], 16) if len(words) == 2 and int(words[0], 16) == request else -1
    except ValueError:
        return -1
