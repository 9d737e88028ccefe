"""One connection to a server and the HTTP/1.1 exchange on it, one at a time.

A connection never sends or resends a request by itself: the caller of `exchange` decides what is written, and
when.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import cast

from sidecar.connection_socket import ConnectionSocket
from sidecar.downstream.body_streaming import Upload
from sidecar.downstream.flow_control import BoundedReader
from sidecar.http import (
    LAST_CHUNK,
    Headers,
    MalformedMessageError,
    ResponseHead,
    ResponseReader,
    Signal,
    chunk,
    request_head,
)
from sidecar.interfaces import ResponseSink, Transport
from sidecar.memory_budget import MemoryBudget, MemoryCharge, headers_memory
from sidecar.memory_limits import MAX_READ_BYTES

_CONTENT_HEADERS = (b"content-type", b"content-encoding")
_MAX_COPIED_BODY_BYTES = 8 << 10  # a longer body is written by a second call, so that it is not held twice
_MAX_BUFFERING_S = 0.05  # of a response of unknown length; one that takes longer is streamed


@dataclass(slots=True)
class OutgoingRequest:
    """A request to write to a server."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    upload: Upload | None = None  # replaces `body` if the body is streamed


@dataclass(slots=True)
class Response:
    """A complete response, or the beginning of a streamed one."""

    status: int
    headers: Headers
    body: bytes
    unread_us: int = 0  # how long its last bytes were unread in the socket

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given by its name in lower case."""
        return next((value for key, value in self.headers if key == name), None)

    def content_headers(self) -> Headers:
        """Return the headers that describe the body and are forwarded with it."""
        return [header for header in self.headers if header[0] in _CONTENT_HEADERS]


@unique
class ExchangeFailure(Enum):
    """Why an exchange has no response."""

    REQUEST_INCOMPLETE = "request incomplete"  # the connection ended before its last byte was written
    CONNECTION_LOST = "connection lost"  # it was closed or reset after that
    MALFORMED_RESPONSE = "malformed response"  # rejected by the HTTP codec, or too large


OnResult = Callable[[Response | ExchangeFailure], None]
# Called when a response begins that is too long to be buffered, with its beginning and its length, if known.
# Returns the sink to forward it to, or None if no client waits for it.
OnStreamingResponse = Callable[["UpstreamConnection", Response, int | None], ResponseSink | None]


class UpstreamConnection(BoundedReader):
    """The protocol of one connection to a server."""

    def __init__(
        self,
        max_buffered_bytes: int,
        on_free: Callable[[UpstreamConnection], None],
        on_closed: Callable[[UpstreamConnection], None],
        max_read_bytes: int = MAX_READ_BYTES,
        memory: MemoryBudget | None = None,
    ) -> None:
        """`on_free` is called when the connection can be reused, `on_closed` once when it is closed.

        A response body of more than `max_buffered_bytes` is streamed, or the exchange fails if its caller
        accepts no streamed response.  If the `memory` of all responses is used up, shorter ones are streamed
        too, where the caller accepts that.
        """
        self.max_read_bytes = max_read_bytes
        self._max_buffered_bytes = max_buffered_bytes
        self._on_free = on_free
        self._on_closed = on_closed
        self._transport: Transport | None = None
        self._socket: ConnectionSocket | None = None
        self._reader = ResponseReader()
        self._on_result: OnResult | None = None  # of the exchange in flight
        self._on_written: Callable[[], None] | None = None
        self._on_streaming_response: OnStreamingResponse | None = None
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._memory = memory
        self._charge = None if memory is None else MemoryCharge(memory)  # of the head and the body
        self._is_writing_paused = False  # the transport's write buffer is not empty
        self._is_reading_paused = False  # the client does not read what has been read of the response
        self._upload: Upload | None = None  # a streamed body that is not completely written
        self._unflushed_upload: Upload | None = None  # completely written, and partly in the write buffer
        self._is_upload_chunked = False
        self._sink: ResponseSink | None = None  # where a streamed response is forwarded to
        self._buffering_timer: asyncio.TimerHandle | None = None
        self.streamed_bytes = 0  # of bodies, in either direction
        self._is_closed = False
        self._has_unsolicited_data = False

    # Called by the owner

    def is_usable(self) -> bool:
        """Whether a request may be written now: open, no exchange in flight, and nothing unread.

        Guards against the race with a peer that closes an idle connection: the close may have reached the
        socket and not the event loop, and a request written then may or may not have run.
        """
        if self._is_closed or self._transport is None or self._transport.is_closing():
            return False
        if self._on_result is not None:
            return False
        return self._socket is not None and self._socket.is_idle()

    def has_unsolicited_data(self) -> bool:
        """Whether the server has sent something to an idle connection, as a second response."""
        is_unread = not self._is_closed and self._socket is not None and self._socket.unread_bytes() > 0
        return self._has_unsolicited_data or is_unread

    def exchange(
        self,
        request: OutgoingRequest,
        on_result: OnResult,
        on_written: Callable[[], None] | None = None,
        on_streaming_response: OnStreamingResponse | None = None,
    ) -> None:
        """Write a request; `on_result` is called exactly once, but never from within this call.

        `on_written` is called at most once, when the last byte was passed to the system.  Without
        `on_streaming_response`, a response that is too long to be buffered counts as malformed.
        """
        assert self._transport is not None
        assert self._on_result is None
        self._on_result = on_result
        self._head = None
        self._body = bytearray()
        self._on_written, self._on_streaming_response = on_written, on_streaming_response
        head = request_head(request.method, request.target, request.headers)
        if request.upload is not None:
            self._upload = request.upload
            self._is_upload_chunked = request.upload.length is None
            self._transport.write(head)
            request.upload.attach(self)
            return
        if len(request.body) > _MAX_COPIED_BODY_BYTES:
            self._transport.write(head)
            self._transport.write(request.body)
        else:
            self._transport.write(head + request.body)
        if self._transport.is_closing():
            self._is_writing_paused = True  # the write failed immediately; connection_lost follows
        if not self._is_writing_paused:
            self._notify_written()

    def send_body(self, data: bytes) -> bool:
        """Forward a piece of the request's body; return whether more may follow at once."""
        if self._transport is None or self._is_closed:
            return True  # the data is discarded
        self.streamed_bytes += len(data)
        self._transport.write(chunk(data) if self._is_upload_chunked else data)
        return not self._is_writing_paused

    def end_body(self) -> None:
        """End the request's body."""
        if self._transport is None or self._is_closed:
            return
        self._unflushed_upload, self._upload = self._upload, None
        if self._is_upload_chunked:
            self._transport.write(LAST_CHUNK)
        if not self._is_writing_paused and not self._transport.is_closing():
            self._notify_written()

    @property
    def is_streaming_response(self) -> bool:
        """Whether the response is forwarded while it arrives."""
        return self._sink is not None

    @property
    def is_sending_body(self) -> bool:
        """Whether the request has a streamed body that is not completely written."""
        return self._upload is not None

    @property
    def is_waiting_for_server(self) -> bool:
        """Whether the progress of a streamed body depends on the server, not on the client."""
        is_reading = self._transport is not None and self._transport.is_reading()
        return self._is_writing_paused or (self._sink is not None and is_reading)

    def pause(self) -> None:
        """Stop reading the response."""
        self._is_reading_paused = True
        if self._transport is not None and not self._is_closed:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading after `pause`."""
        self._is_reading_paused = False
        if self._transport is not None and not self._is_closed:
            self._transport.resume_reading()

    def fail(self) -> None:
        """Close the connection and fail the exchange in flight, as if the server had closed it."""
        self._fail(self._failure_on_loss())

    def close(self) -> None:
        """Close the connection; an exchange in flight is dropped without calling `on_result`.

        The socket is shut down within this call, before the caller can write another attempt elsewhere.  The
        transport itself closes its socket only in a later event loop iteration, and until then the server
        could receive this attempt while another server receives the next.  What the system has not sent of a
        dropped request is discarded, as the server would otherwise receive and execute it later.
        """
        is_dropping_request = self._on_result is not None and not self._is_closed
        if is_dropping_request and self._socket is not None and self._socket.unsent_bytes():
            self._socket.discard_unsent()
        self._forget_exchange()
        self._end_streaming()
        if self._transport is not None and not self._is_closed:
            if self._socket is not None:
                self._socket.shut_down(socket.SHUT_RDWR)
            self._transport.abort()
        if not self._is_closed:
            self._is_closed = True
            self._on_closed(self)

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop: the connection to the server is established."""
        # uvloop's transport is no subclass of asyncio's, so its type can't be checked.
        self._transport = cast(Transport, transport)
        self._transport.set_write_buffer_limits(high=0)  # pause_writing then means: data is unwritten
        self._socket = ConnectionSocket(self._transport)

    def pause_writing(self) -> None:
        """Called by the event loop: bytes wait in the write buffer."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Called by the event loop: the write buffer is empty."""
        self._is_writing_paused = False
        if self._upload is not None:
            self._upload.resume()
        else:
            self._release_upload()
            self._notify_written()

    def data_received(self, data: bytes) -> None:
        """Called by the event loop: the server sent these bytes."""
        if self._on_result is None:
            self._has_unsolicited_data = True
            self.close()
            return
        self._read(data)
        if self._reader.is_in_chunked_body and len(data) == self.max_read_bytes and self.may_read():
            self.yield_to_others(self._transport)

    def may_read(self) -> bool:
        """Whether the receiver of the response accepts more of it."""
        return not self._is_reading_paused

    def eof_received(self) -> None:
        """Called by the event loop: the server closed its sending side."""
        if self._on_result is not None:
            self._reader.receive_end()
            self._read(b"")  # the close may delimit the response
        self._fail(self._failure_on_loss())

    def connection_lost(self, _exc: Exception | None) -> None:
        """Called by the event loop: the connection is closed."""
        self._fail(self._failure_on_loss())
        if self._socket is not None:
            self._socket.release()

    # Reading a response

    def _read(self, data: bytes) -> None:
        self._reader.receive(data)
        try:
            while not self._is_closed:
                event = self._reader.next_event()
                if isinstance(event, bytes):
                    self._body_received(event)
                elif isinstance(event, ResponseHead):
                    self._head = event
                    self._head_received(event)
                elif event is Signal.END:
                    self._response_completed()
                    return
                else:
                    return
        except MalformedMessageError:
            self._fail(ExchangeFailure.MALFORMED_RESPONSE)

    def _head_received(self, head: ResponseHead) -> None:
        """Stream a response that is too long; buffer one of unknown length for a bounded time only."""
        self._hold_memory(headers_memory(head.headers))
        if head.length is not None:
            if head.length > self._max_buffered_bytes:
                self._start_streaming(head.length)
        elif self._on_streaming_response is not None and head.status == 200:
            self._buffering_timer = asyncio.get_running_loop().call_later(
                _MAX_BUFFERING_S, self._start_streaming, None
            )

    def _body_received(self, data: bytes) -> None:
        if self._sink is None:
            self._body += data
            self._hold_memory(len(data))
            if len(self._body) > self._max_buffered_bytes or self._must_save_memory:
                self._start_streaming(None if self._head is None else self._head.length)
            return
        self.streamed_bytes += len(data)
        if not self._sink.write(data):
            self.pause()

    def _hold_memory(self, count: int) -> None:
        if self._charge is not None:
            self._charge.hold(count)

    @property
    def _must_save_memory(self) -> bool:
        """Whether the response should not be buffered any further, and need not be."""
        is_short = self._memory is not None and self._memory.is_exceeded
        return is_short and self._on_streaming_response is not None

    def _start_streaming(self, length: int | None) -> None:
        """Forward the response as it arrives from now on, as fast as its client reads."""
        self._stop_buffering_timer()
        if self._sink is not None or self._head is None or self._on_result is None:
            return
        if self._head.status != 200:
            on_result, head = self._on_result, self._head
            self.close()
            on_result(Response(head.status, head.headers, b""))  # only its head is used
            return
        if self._on_streaming_response is None:
            self._fail(ExchangeFailure.MALFORMED_RESPONSE)
            return
        assert self._socket is not None
        unread_us = self._socket.unread_us()
        beginning = Response(200, self._head.headers, bytes(self._body), unread_us)
        self._body = bytearray()
        if self._charge is not None:
            self._charge.release()
        self._sink = self._on_streaming_response(self, beginning, length)
        if self._sink is None:
            self._fail(ExchangeFailure.CONNECTION_LOST)  # no client waits for it

    def _stop_buffering_timer(self) -> None:
        if self._buffering_timer is not None:
            self._buffering_timer.cancel()
            self._buffering_timer = None

    # Ending an exchange

    def _response_completed(self) -> None:
        assert self._head is not None
        assert self._socket is not None
        unread_us = self._socket.unread_us()
        response = Response(self._head.status, self._head.headers, bytes(self._body), unread_us)
        on_result = self._on_result
        self._forget_exchange()
        # A response that arrives while the request is still being sent ends the connection.
        is_early = self._is_writing_paused or self._upload is not None
        self._end_streaming()
        if self._reader.is_reusable and not is_early and not self._reader.has_trailing_data:
            self._reader.start_next()
            if self._is_reading_paused:
                self.resume()  # the client of this response does not delay those of the next
            self._on_free(self)
        else:
            self.close()
        if on_result is not None:
            on_result(response)

    def _forget_exchange(self) -> None:
        """Drop what refers to the exchange, as an idle connection must keep no request in memory."""
        self._on_result = self._on_written = self._on_streaming_response = None
        self._head = None
        self._body = bytearray()
        if self._charge is not None:
            self._charge.release()

    def _fail(self, failure: ExchangeFailure) -> None:
        on_result = self._on_result
        self.close()
        if on_result is not None:
            on_result(failure)

    def _failure_on_loss(self) -> ExchangeFailure:
        """Return the failure of the exchange in flight when its connection is lost now."""
        if self._is_writing_paused or self._upload is not None:
            return ExchangeFailure.REQUEST_INCOMPLETE
        return ExchangeFailure.CONNECTION_LOST

    def _end_streaming(self) -> None:
        self._stop_buffering_timer()
        self._sink = None
        self._release_upload()
        upload, self._upload = self._upload, None
        if upload is not None:
            upload.detach(self)

    def _release_upload(self) -> None:
        upload, self._unflushed_upload = self._unflushed_upload, None
        if upload is not None:
            upload.release_memory()

    def _notify_written(self) -> None:
        on_written, self._on_written = self._on_written, None
        if on_written is not None:
            on_written()
