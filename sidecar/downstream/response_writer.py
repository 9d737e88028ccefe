"""The part of a client connection that writes responses, each complete or streamed as it arrives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sidecar.downstream.body_receiver import BodyReceiver
from sidecar.downstream.connection_state import ConnectionState
from sidecar.downstream.request_parsing import CHUNKED
from sidecar.http import LAST_CHUNK, Headers, RequestHead, RequestReader, chunk, response_head
from sidecar.interfaces import ResponseSource
from sidecar.memory_budget import MemoryCharge

if TYPE_CHECKING:
    from sidecar.downstream.downstream import Downstream

_CONNECTION_CLOSE = (b"connection", b"close")


class ResponseWriter(BodyReceiver):
    """The part of a client connection that is independent of how requests are read."""

    def __init__(self, owner: Downstream) -> None:
        super().__init__(owner)
        self._reader = RequestReader()
        self._head: RequestHead | None = None  # of the request that is arriving or pending
        self._memory: MemoryCharge  # of a request that is not accepted yet; set by `connection_made`
        self._source: ResponseSource | None = None  # of the response that is being streamed
        self._is_response_chunked = False
        self._response_bytes_left: int | None = None  # None: its length is not known

    # Called by the sidecar

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the response to the pending request."""
        self._pending_request = None
        if self._upload is not None:
            self._is_reading_ended = True  # the rest of the body is not read
            self._discard_upload()
        if self._source is not None:
            self.abort()  # a streamed response has begun, so no other can be sent
            return
        if self._transport is None or self._transport.is_closing():
            return
        is_last = self._is_last_response
        if is_last:
            headers = [*headers, _CONNECTION_CLOSE]
        if self._head is not None and self._head.method == b"HEAD":
            body = b""  # a response to HEAD has none, not even an error (RFC 9110, 9.3.2)
        head = response_head(status, [*headers, (b"content-length", b"%d" % len(body))])
        self._transport.write(head + body)
        self._response_written(is_last=is_last)

    def start_streaming(
        self, headers: Headers, length: int | None, first: bytes, source: ResponseSource
    ) -> bool:
        """Write the beginning of a streamed response; return False if the client has disconnected."""
        if self._transport is None or self._transport.is_closing():
            return False
        assert self._head is not None
        is_framed = length is not None or not self._head.is_http_1_0
        if self._is_last_response or not is_framed:
            headers = [*headers, _CONNECTION_CLOSE]
        if length is not None:
            headers = [*headers, (b"content-length", b"%d" % length)]
        elif is_framed:
            headers = [*headers, CHUNKED]
        self._enter(ConnectionState.STREAMING_RESPONSE)
        self._is_response_chunked, self._response_bytes_left = is_framed and length is None, length
        self._transport.set_write_buffer_limits(high=self._owner.write_buffer_bytes)
        self._source = source
        self._was_streamed = True
        self._transport.write(response_head(200, headers))
        if first and not self.write(first):
            source.pause()
        return True

    def write(self, data: bytes) -> bool:
        """Write a piece of a streamed response; return whether more may follow at once."""
        if self._transport is None or self._source is None or self._transport.is_closing():
            return True  # the client has disconnected; the data is discarded
        if self._response_bytes_left is not None:
            self._response_bytes_left -= len(data)
        self._transport.write(chunk(data) if self._is_response_chunked else data)
        return not self._is_writing_paused

    def finish_streaming(self) -> None:
        """End a streamed response; abort the connection if it is shorter than its content-length."""
        self._pending_request = self._source = None
        if self._transport is None or self._transport.is_closing():
            return
        if self._response_bytes_left:
            self.abort()
            return
        if self._is_response_chunked:
            self._transport.write(LAST_CHUNK)
        is_unframed = self._response_bytes_left is None and not self._is_response_chunked
        self._response_written(is_last=self._is_last_response or is_unframed)

    @property
    def is_streaming_response(self) -> bool:
        """Whether a streamed response is not completely written."""
        if self._transport is None or not self._was_streamed:
            return False
        return self._source is not None or self._transport.get_write_buffer_size() > 0

    def _response_written(self, *, is_last: bool) -> None:
        assert self._transport is not None
        self._memory.release()
        if not self._reader.is_reusable or is_last or self._is_reading_ended:
            self._head = None  # its memory is no longer counted
            self._linger()
            return
        self._enter(ConnectionState.IDLE)
        self._reader.start_next()
        self._head = None
        if not self._is_writing_paused:
            self._wait_for_next_request()

    def _wait_for_next_request(self) -> None:
        """Called after a response that does not end the connection."""
        raise NotImplementedError

    @property
    def _is_last_response(self) -> bool:
        """Whether the connection ends after a response that begins now."""
        if self._is_reading_ended or self._owner.is_draining or self._head is None:
            return True
        return not self._head.keeps_alive
