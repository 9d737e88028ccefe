"""HTTP/1.1 as far as the stand-ins need it: whole requests with a length, answers with a length."""

from __future__ import annotations

import re
from collections.abc import Iterator

_LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)", re.IGNORECASE)
_MOST = 1 << 20  # bytes of one request


class MalformedRequestError(Exception):
    """What came is no request with a length, or too long."""


class Requests:
    """Cuts what comes on one connection into requests."""

    def __init__(self) -> None:
        self._kept = b""

    def feed(self, data: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Head (without the empty line) and body of each complete request; raise MalformedRequestError."""
        self._kept = self._kept + data if self._kept else data
        while True:
            end = self._kept.find(b"\r\n\r\n")
            if end < 0:
                if len(self._kept) > _MOST:
                    raise MalformedRequestError
                return
            found = _LENGTH.search(self._kept, 0, end + 2)
            whole = end + 4 + (int(found[1]) if found else 0)
            if whole > _MOST:
                raise MalformedRequestError
            if len(self._kept) < whole:
                return
            head, body = self._kept[:end], self._kept[end + 4 : whole]
            self._kept = self._kept[whole:]
            yield head, body

    @property
    def is_between(self) -> bool:
        """Whether nothing of a request has come since the last whole one."""
        return not self._kept


def header(head: bytes, name: bytes) -> bytes:
    """A header's value; empty where it is missing."""
    place = head.lower().find(b"\r\n" + name + b":")
    if place < 0:
        return b""
    begin = place + len(name) + 3
    end = head.find(b"\r\n", begin)
    return head[begin : end if end >= 0 else len(head)].strip()


def answer(status: bytes, body: bytes = b"", more: bytes = b"") -> bytes:
    """An answer with its length."""
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), more, body)
