"""Reads messages from received bytes as events: the head, pieces of the body, the end.

`receive` takes bytes in pieces of any size; `next_event` returns events until it needs more bytes.  Every
byte is examined a bounded number of times, so the time is linear in the size of the input.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, unique
from typing import Generic, TypeVar

from sidecar.http.chunked import ChunkedBody
from sidecar.http.grammar import (
    MalformedMessageError,
    RequestHead,
    ResponseHead,
    check_partial_head,
    parse_request_head,
    parse_response_head,
)

_MAX_INTERIM_RESPONSES = 16  # 1xx before the final response

Head = TypeVar("Head", RequestHead, ResponseHead)


@unique
class Signal(Enum):
    """An event other than a head or a piece of a body."""

    NEED_DATA = "more bytes are needed"
    END = "the message is complete"
    PAUSED = "the message was complete before; `start_next` reads another"


class _MessageReader(Generic[Head]):
    """A state machine for one message at a time: its head, its body in one of three framings, its end."""

    def __init__(self) -> None:
        self._unread = b""  # received and not examined yet
        self._partial_head = bytearray()
        self._has_peer_closed = False  # the peer has closed its sending side
        self._chunked: ChunkedBody | None = None
        self._bytes_left = 0  # of a body of known length
        self._keeps_alive = False
        self.is_in_body = False  # the head was read, but not the complete body
        self.is_complete = False
        # A method of the class, as a method of this object would refer back to it (a reference cycle).
        self._step: Callable[[_MessageReader[Head]], Head | bytes | Signal] = _MessageReader._read_head

    def receive(self, data: bytes) -> None:
        """Add bytes that were received."""
        self._unread = self._unread + data if self._unread else data

    def receive_end(self) -> None:
        """Record that the peer has closed its sending side, which ends a body without other framing."""
        self._has_peer_closed = True

    def next_event(self) -> Head | bytes | Signal:
        """Return a head, a piece of its body or a signal.

        Raise MalformedMessageError, after which the reader can't be used any more.
        """
        return self._step(self)

    def start_next(self) -> None:
        """Read the next message after a complete one."""
        self.is_complete = False
        self._chunked = None
        self._step = _MessageReader._read_head

    @property
    def is_idle(self) -> bool:
        """Whether no part of a message was received."""
        return not (self.is_in_body or self.is_complete or self._partial_head or self._unread)

    @property
    def has_trailing_data(self) -> bool:
        """Whether bytes were received beyond those parsed."""
        return bool(self._unread) or (self._chunked is not None and self._chunked.has_trailing_data)

    @property
    def is_in_chunked_body(self) -> bool:
        """Whether a chunked body is being read, whose chunks may be many and small."""
        return self.is_in_body and self._chunked is not None

    @property
    def is_reusable(self) -> bool:
        """Whether a further message may follow on this connection."""
        return self._keeps_alive and self.is_complete

    # The states: each returns the next event and sets the next state

    def _head_received(self, head: bytes) -> Head | None:
        """Parse a head and expect its body; return None for an interim response."""
        raise NotImplementedError

    def _read_head(self) -> Head | bytes | Signal:
        while self._unread:
            head = self._take_head()
            if head is None:
                break
            event = self._head_received(head)
            if event is not None:
                return event
        return Signal.NEED_DATA

    def _take_head(self) -> bytes | None:
        data, self._unread = self._unread, b""
        if not self._partial_head:
            end = data.find(b"\r\n\r\n")
            if end >= 0:
                self._unread = data[end + 4 :]
                return data[: end + 4]
            self._partial_head += data
            check_partial_head(data, 0)
            return None
        start = len(self._partial_head)
        self._partial_head += data
        end = self._partial_head.find(b"\r\n\r\n", max(start - 3, 0))
        if end < 0:
            check_partial_head(self._partial_head, start)
            return None
        head, self._unread = bytes(self._partial_head[: end + 4]), bytes(self._partial_head[end + 4 :])
        self._partial_head = bytearray()
        return head

    def _expect_body(self, length: int | None, *, is_chunked: bool, keeps_alive: bool) -> None:
        self._chunked = ChunkedBody() if is_chunked else None
        self.is_in_body = True
        self._keeps_alive = keeps_alive and (is_chunked or length is not None)
        if is_chunked:
            self._step = _MessageReader._read_chunks
        elif length is None:
            self._step = _MessageReader._read_until_close
        else:
            self._bytes_left = length
            self._step = _MessageReader._read_fixed_length if length else _MessageReader._end

    def _read_fixed_length(self) -> Head | bytes | Signal:
        piece = self._unread
        if not piece:
            return Signal.NEED_DATA
        if len(piece) > self._bytes_left:
            piece, self._unread = piece[: self._bytes_left], piece[self._bytes_left :]
        else:
            self._unread = b""
        self._bytes_left -= len(piece)
        if not self._bytes_left:
            self._step = _MessageReader._end
        return piece

    def _read_chunks(self) -> Head | bytes | Signal:
        assert self._chunked is not None
        if not self._unread:
            return Signal.NEED_DATA
        data, self._unread = self._unread, b""
        piece = self._chunked.feed(data)
        if self._chunked.is_complete:
            self._step = _MessageReader._end
            return piece or self._end()
        return piece or Signal.NEED_DATA

    def _read_until_close(self) -> Head | bytes | Signal:
        piece, self._unread = self._unread, b""
        return piece or (self._end() if self._has_peer_closed else Signal.NEED_DATA)

    def _end(self) -> Head | bytes | Signal:
        self._step = _MessageReader._read_after_end
        self.is_in_body = False
        self.is_complete = True
        return Signal.END

    def _read_after_end(self) -> Head | bytes | Signal:
        return Signal.PAUSED


class RequestReader(_MessageReader[RequestHead]):
    """Reads requests, as an HTTP server."""

    def _head_received(self, head: bytes) -> RequestHead:
        parsed = parse_request_head(head)
        self._expect_body(parsed.length, is_chunked=parsed.length is None, keeps_alive=parsed.keeps_alive)
        return parsed


class ResponseReader(_MessageReader[ResponseHead]):
    """Reads final responses to requests other than HEAD and CONNECT; interim ones (1xx) are skipped."""

    def __init__(self) -> None:
        super().__init__()
        self._interim_responses = 0

    def start_next(self) -> None:
        """Read the next response; its interim responses are counted anew."""
        super().start_next()
        self._interim_responses = 0

    def _head_received(self, head: bytes) -> ResponseHead | None:
        parsed = parse_response_head(head)
        if parsed.status < 200:
            self._interim_responses += 1
            if self._interim_responses > _MAX_INTERIM_RESPONSES:
                raise MalformedMessageError("too many answers before the final one")
            return None
        self._expect_body(parsed.length, is_chunked=parsed.is_chunked, keeps_alive=parsed.keeps_alive)
        return parsed
