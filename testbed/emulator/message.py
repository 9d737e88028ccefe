"""The subset of HTTP/1.1 that stand-ins use: complete requests and responses with Content-Length."""

from __future__ import annotations

import re
from collections.abc import Iterator

_LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)", re.IGNORECASE)
_MAX_REQUEST_BYTES = 1 << 20


class MalformedRequestError(Exception):
    """A request exceeds the maximum size."""


class RequestParser:
    """Splits the byte stream of one connection into requests."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Add received bytes; yield the head (without the empty line) and body of each complete request.

        Raises:
            MalformedRequestError: A request exceeds the maximum size.
        """
        self._buffer = self._buffer + data if self._buffer else data
        while True:
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                if len(self._buffer) > _MAX_REQUEST_BYTES:
                    raise MalformedRequestError
                return
            length_match = _LENGTH.search(self._buffer, 0, end + 2)
            total_bytes = end + 4 + (int(length_match[1]) if length_match else 0)
            if total_bytes > _MAX_REQUEST_BYTES:
                raise MalformedRequestError
            if len(self._buffer) < total_bytes:
                return
            head, body = self._buffer[:end], self._buffer[end + 4 : total_bytes]
            self._buffer = self._buffer[total_bytes:]
            yield head, body

    @property
    def is_between_requests(self) -> bool:
        """Whether no byte of a further request has been received since the last complete one."""
        return not self._buffer


def header(head: bytes, name: bytes) -> bytes:
    """The value of the header with this lower-case name; empty if the header is missing."""
    start = head.lower().find(b"\r\n" + name + b":")
    if start < 0:
        return b""
    value_start = start + len(name) + 3
    end = head.find(b"\r\n", value_start)
    return head[value_start : end if end >= 0 else len(head)].strip()


def encode_response(status: bytes, body: bytes = b"", extra_headers: bytes = b"") -> bytes:
    """Encode a response; `extra_headers` are complete lines with CRLF."""
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), extra_headers, body)
