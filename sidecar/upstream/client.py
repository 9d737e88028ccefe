"""The client's side of one HTTP/1.1 connection: one exchange at a time, and how it ended.

It sends nothing by itself and nothing twice: whoever calls `exchange` decides what is written, and when.
"""

from __future__ import annotations

import asyncio
import ipaddress
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import cast

from sidecar.connection_socket import ConnectionSocket
from sidecar.downstream.stream import BoundedReader, Upload
from sidecar.http import (
    LAST_CHUNK,
    Headers,
    Malformed,
    ResponseHead,
    ResponseReader,
    Signal,
    chunk,
    request_head,
)
from sidecar.interfaces import ResponseSink, Transport

_HELD_S = 0.05  # an answer of unknown length that goes on for longer is passed on as it comes

Address = tuple[str, int]


def parse_address(value: object) -> Address:
    """Split `address:port`; there is no DNS, so the address must be a numeric one."""
    if not isinstance(value, str):
        raise ValueError(f"address:port is needed, not {value!r:.60}")
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(f"address:port is needed, not {value!r:.60}") from None
    if not 0 <= number <= 65_535:
        raise ValueError(f"a port from 0 to 65535 is needed, not {number}")
    return host.strip("[]"), number


@dataclass(slots=True)
class Message:
    """A request to write."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    upload: Upload | None = None  # in place of `body`: it passes through


@dataclass(slots=True)
class Response:
    """A whole answer, or the beginning of one that passes through."""

    status: int
    headers: Headers
    body: bytes
    unread_us: int = 0  # how long its last bytes lay in the socket

    def header(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)


@unique
class Failure(Enum):
    """Why an exchange has no answer."""

    UNWRITTEN = "unwritten"  # the connection ended before the request's last byte was written
    BROKEN = "broken"  # it broke or ended after that
    GARBLED = "garbled"  # what came is not HTTP, or too large


Ended = Callable[[Response | Failure], None]
# An answer too long to be kept begins, of this length if that is known: where does it go?
Started = Callable[["ClientConnection", Response, int | None], ResponseSink | None]


class ClientConnection(BoundedReader):
    """One connection.  `on_free` is called when it can be used again, `on_closed` once when it never can."""

    def __init__(
        self,
        most_bytes: int,
        on_free: Callable[[ClientConnection], None],
        on_closed: Callable[[ClientConnection], None],
    ) -> None:
        self._most_bytes = most_bytes
        self._on_free = on_free
        self._on_closed = on_closed
        self._transport: Transport | None = None
        self._socket: ConnectionSocket | None = None
        self._http = ResponseReader()
        self._ended: Ended | None = None
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._unwritten = False
        self._on_written: Callable[[], None] | None = None  # to be told when all is written
        self._on_started: Started | None = None  # None: what is too long is garbled
        self._upload: Upload | None = None  # a body that is not written to its end
        self._is_chunked = False  # and whether it goes in chunks
        self._sink: ResponseSink | None = None  # where the answer passes on to
        self._holding: asyncio.TimerHandle | None = None
        self.moved = 0  # bytes of bodies that passed through, either way
        self._closed = False

    # What the owner calls

    def is_usable(self) -> bool:
        """Whether a request may be written now: open, at rest, and nothing came that was not asked for.

        Guards against the race with a peer that closes an idle connection: its end may lie in the socket
        before the event loop has seen it, and a request written then may have run, for all one can tell.
        """
        if self._closed or self._transport is None or self._transport.is_closing() or self._ended is not None:
            return False
        return self._socket is not None and self._socket.is_idle()

    def exchange(
        self,
        message: Message,
        ended: Ended,
        on_written: Callable[[], None] | None = None,
        on_started: Started | None = None,
    ) -> None:
        """Write a request; `ended` is called exactly once, but never from within this call.

        `on_written` is called at most once, when the last byte was handed to the system, and `on_started`
        where an answer begins that is too long to be kept.
        """
        assert self._transport is not None and self._ended is None
        self._ended = ended
        self._head = None
        self._body = bytearray()
        self._on_written, self._on_started = on_written, on_started
        head = request_head(message.method, message.target, message.headers)
        if message.upload is not None:
            self._upload = message.upload
            self._is_chunked = message.upload.length is None
            self._transport.write(head)
            message.upload.attach(self)
            return
        self._transport.write(head + message.body if message.body else head)
        if self._transport.is_closing():
            self._unwritten = True  # the write failed at once; connection_lost follows
        if not self._unwritten:
            self._written()

    def send_body(self, data: bytes) -> bool:
        """Pass on more of a request's body; say whether more may follow at once."""
        if self._transport is None or self._closed:
            return True  # it goes nowhere any more
        self.moved += len(data)
        self._transport.write(chunk(data) if self._is_chunked else data)
        return not self._unwritten

    def end_body(self) -> None:
        """The request's body has come to its end."""
        if self._transport is None or self._closed:
            return
        self._upload = None
        if self._is_chunked:
            self._transport.write(LAST_CHUNK)
        if not self._unwritten and not self._transport.is_closing():
            self._written()

    @property
    def is_passing_on(self) -> bool:
        """Whether the answer passes through."""
        return self._sink is not None

    @property
    def is_waiting_for_server(self) -> bool:
        """Whether a body that passes through stands still because of the far end."""
        reading = self._transport is not None and self._transport.is_reading()
        return self._unwritten or (self._sink is not None and reading)

    def pause(self) -> None:
        if self._transport is not None and not self._closed:
            self._transport.pause_reading()

    def resume(self) -> None:
        if self._transport is not None and not self._closed:
            self._transport.resume_reading()

    def give_up(self) -> None:
        """The far end gives or takes nothing any more."""
        self._fail(self._broken())

    def close(self) -> None:
        """Give the connection up.  An exchange under way is dropped without a word.

        Its sending ends within this call, before anything that the caller may write elsewhere next: the
        transport itself closes its socket only in a later round of the event loop, and until then a further
        attempt would be a second copy beside this one.
        """
        self._ended = None
        self._let_go()
        if self._transport is not None and not self._closed:
            if self._socket is not None:
                self._socket.shut_down(socket.SHUT_RDWR)
            self._transport.abort()
        self._report_closed()

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The event loop's own class is none of asyncio's, so there is nothing to check.
        self._transport = cast(Transport, transport)
        self._transport.set_write_buffer_limits(high=0)  # pause_writing then means: something is unwritten
        self._socket = ConnectionSocket(self._transport)

    def pause_writing(self) -> None:
        self._unwritten = True

    def resume_writing(self) -> None:
        self._unwritten = False
        if self._upload is not None:
            self._upload.go_on()
        else:
            self._written()

    def data_received(self, data: bytes) -> None:
        if self._ended is None:
            self.close()  # nothing was asked
            return
        self._read(data)

    def eof_received(self) -> None:
        if self._ended is not None:
            self._http.receive_end()
            self._read(b"")  # an answer may be framed by its end
        self._fail(self._broken())

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(self._broken())
        if self._socket is not None:
            self._socket.release()

    # The rest

    def _read(self, data: bytes) -> None:
        self._http.receive(data)
        try:
            while not self._closed:
                event = self._http.next_event()
                if isinstance(event, bytes):
                    self._take(event)
                elif isinstance(event, ResponseHead):
                    self._head = event
                    self._foresee(event)
                elif event is Signal.END:
                    self._answered()
                    return
                else:
                    return
        except Malformed:
            self._fail(Failure.GARBLED)

    def _foresee(self, head: ResponseHead) -> None:
        """See by an answer's head whether it can be kept; where that is open, not for long."""
        if head.length is not None:
            if head.length > self._most_bytes:
                self._pass_on(head.length)
        elif self._on_started is not None and head.status == 200:
            self._holding = asyncio.get_running_loop().call_later(_HELD_S, self._pass_on, None)

    def _take(self, data: bytes) -> None:
        if self._sink is None:
            self._body += data
            if len(self._body) > self._most_bytes:
                self._pass_on(None)
            return
        self.moved += len(data)
        if not self._sink.write(data):
            self.pause()

    def _pass_on(self, length: int | None) -> None:
        """From here on the answer goes on as it comes, at the pace of whoever reads it."""
        self._stop_holding()
        if self._sink is not None or self._head is None or self._ended is None:
            return
        if self._head.status != 200:
            ended = self._ended
            self.close()
            ended(Response(self._head.status, self._head.headers, b""))  # its head says it all
            return
        if self._on_started is None:
            self._fail(Failure.GARBLED)
            return
        assert self._socket is not None
        unread_us = self._socket.unread_us()
        begun = Response(200, self._head.headers, bytes(self._body), unread_us)
        self._body = bytearray()
        self._sink = self._on_started(self, begun, length)
        if self._sink is None:
            self._fail(Failure.BROKEN)  # nobody waits for it

    def _stop_holding(self) -> None:
        if self._holding is not None:
            self._holding.cancel()
            self._holding = None

    def _let_go(self) -> None:
        """Nothing passes through from here on."""
        self._stop_holding()
        self._sink = None
        upload, self._upload = self._upload, None
        if upload is not None:
            upload.detach(self)

    def _broken(self) -> Failure:
        return Failure.UNWRITTEN if self._unwritten or self._upload is not None else Failure.BROKEN

    def _written(self) -> None:
        told, self._on_written = self._on_written, None
        if told is not None:
            told()

    def _answered(self) -> None:
        assert self._head is not None and self._socket is not None
        unread_us = self._socket.unread_us()
        response = Response(self._head.status, self._head.headers, bytes(self._body), unread_us)
        self._body = bytearray()
        ended, self._ended = self._ended, None
        # An answer that is early, while the request is still being sent, ends the connection.
        is_early = self._unwritten or self._upload is not None
        self._let_go()
        if self._http.is_reusable and not is_early and not self._http.has_more:
            self._http.start_next()
            self._on_free(self)
        else:
            self.close()
        if ended is not None:
            ended(response)

    def _fail(self, failure: Failure) -> None:
        ended = self._ended
        self.close()
        if ended is not None:
            ended(failure)

    def _report_closed(self) -> None:
        if not self._closed:
            self._closed = True
            self._on_closed(self)
