"""Messages out of bytes: one head, its body in pieces, its end.

`receive` takes bytes in whatever pieces they come; `next_event` gives what they amount to, until it says that
more is needed.  Every byte is looked at a bounded number of times, so time is linear in what comes.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, unique
from typing import Generic, TypeVar

from sidecar.http.chunked import ChunkedBody
from sidecar.http.grammar import (
    Malformed,
    RequestHead,
    ResponseHead,
    check_beginning,
    read_request_head,
    read_response_head,
)

_MOST_INTERIM = 16  # answers 1xx before the final one

Head = TypeVar("Head", RequestHead, ResponseHead)


@unique
class Signal(Enum):
    """What is neither a head nor a piece of a body."""

    NEED_DATA = "more bytes are needed"
    END = "the message is whole"
    PAUSED = "the message was whole; `start_next` reads another"


class _Reader(Generic[Head]):
    """The states of one message: head, body by its length, in chunks or to the peer's end, done."""

    def __init__(self) -> None:
        self._pending = b""  # received and not read
        self._part = bytearray()  # of a head
        self._is_ended = False  # the peer sends no more
        self._chunked: ChunkedBody | None = None
        self._left = 0  # of a body of known length
        self._keeps_alive = False
        self.is_in_body = False  # a head was read, and its body not to the end
        self.is_whole = False
        self._step: Callable[[], Head | bytes | Signal] = self._read_head

    def receive(self, data: bytes) -> None:
        self._pending = self._pending + data if self._pending else data

    def receive_end(self) -> None:
        """The peer sends no more: a body that its end frames is whole."""
        self._is_ended = True

    def next_event(self) -> Head | bytes | Signal:
        """Give a head, a piece of its body or a signal; raise Malformed, after which nothing can be read."""
        return self._step()

    def start_next(self) -> None:
        """Read a further message, once one is whole."""
        self.is_whole = False
        self._step = self._read_head

    @property
    def is_between(self) -> bool:
        """Whether nothing of a message was received."""
        return not (self.is_in_body or self.is_whole or self._part or self._pending)

    @property
    def has_more(self) -> bool:
        """Whether bytes came behind what was read."""
        return bool(self._pending) or (self._chunked is not None and self._chunked.has_more)

    @property
    def is_reusable(self) -> bool:
        """Whether a further message may follow on this connection."""
        return self._keeps_alive and self.is_whole

    # The states

    def _understood(self, head: bytes) -> Head | None:
        """Read a head and go on to its body; None if another head follows."""
        raise NotImplementedError

    def _read_head(self) -> Head | bytes | Signal:
        while self._pending:
            head = self._whole_head()
            if head is None:
                break
            understood = self._understood(head)
            if understood is not None:
                return understood
        return Signal.NEED_DATA

    def _whole_head(self) -> bytes | None:
        data, self._pending = self._pending, b""
        if not self._part:
            end = data.find(b"\r\n\r\n")
            if end >= 0:
                self._pending = data[end + 4 :]
                return data[: end + 4]
            self._part += data
            check_beginning(data, 0)
            return None
        start = len(self._part)
        self._part += data
        end = self._part.find(b"\r\n\r\n", max(start - 3, 0))
        if end < 0:
            check_beginning(self._part, start)
            return None
        head, self._pending = bytes(self._part[: end + 4]), bytes(self._part[end + 4 :])
        self._part = bytearray()
        return head

    def _expect_body(self, length: int | None, is_chunked: bool, keeps_alive: bool) -> None:
        self._chunked = ChunkedBody() if is_chunked else None
        self.is_in_body = True
        self._keeps_alive = keeps_alive and (is_chunked or length is not None)
        if is_chunked:
            self._step = self._read_chunks
        elif length is None:
            self._step = self._read_to_end
        else:
            self._left = length
            self._step = self._read_length if length else self._end

    def _read_length(self) -> Head | bytes | Signal:
        piece = self._pending
        if not piece:
            return Signal.NEED_DATA
        if len(piece) > self._left:
            piece, self._pending = piece[: self._left], piece[self._left :]
        else:
            self._pending = b""
        self._left -= len(piece)
        if not self._left:
            self._step = self._end
        return piece

    def _read_chunks(self) -> Head | bytes | Signal:
        assert self._chunked is not None
        if not self._pending:
            return Signal.NEED_DATA
        data, self._pending = self._pending, b""
        piece = self._chunked.feed(data)
        if self._chunked.is_whole:
            self._step = self._end
            return piece or self._end()
        return piece or Signal.NEED_DATA

    def _read_to_end(self) -> Head | bytes | Signal:
        piece, self._pending = self._pending, b""
        return piece or (self._end() if self._is_ended else Signal.NEED_DATA)

    def _end(self) -> Head | bytes | Signal:
        self._step = self._paused
        self.is_in_body = False
        self.is_whole = True
        return Signal.END

    def _paused(self) -> Head | bytes | Signal:
        return Signal.PAUSED


class RequestReader(_Reader[RequestHead]):
    """Requests, as a server reads them."""

    def _understood(self, head: bytes) -> RequestHead:
        read = read_request_head(head)
        self._expect_body(read.length, read.length is None, read.keeps_alive)
        return read


class ResponseReader(_Reader[ResponseHead]):
    """Final answers to requests other than HEAD and CONNECT; those with 1xx are passed over."""

    def __init__(self) -> None:
        super().__init__()
        self._interim = 0

    def start_next(self) -> None:
        super().start_next()
        self._interim = 0

    def _understood(self, head: bytes) -> ResponseHead | None:
        read = read_response_head(head)
        if read.status < 200:
            self._interim += 1
            if self._interim > _MOST_INTERIM:
                raise Malformed("too many answers before the final one")
            return None
        self._expect_body(read.length, read.is_chunked, read.keeps_alive)
        return read
