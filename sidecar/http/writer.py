"""Messages into bytes.  What is written here was read by `grammar` or is worded by the sidecar itself."""

from __future__ import annotations

from http import HTTPStatus

from sidecar.http.grammar import Headers

LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_STATUS_LINES = {
    each.value: b"HTTP/1.1 %d %s\r\n" % (each.value, each.phrase.encode()) for each in HTTPStatus
}


def request_head(method: bytes, target: bytes, headers: Headers) -> bytes:
    """A request's head, its empty line included."""
    lines = [b"%b: %b\r\n" % each for each in headers]
    return b"%b %b HTTP/1.1\r\n%b\r\n" % (method, target, b"".join(lines))


def response_head(status: int, headers: Headers) -> bytes:
    """An answer's head, its empty line included; the status is one that has a name."""
    lines = [b"%b: %b\r\n" % each for each in headers]
    return b"%b%b\r\n" % (_STATUS_LINES[status], b"".join(lines))


def chunk(data: bytes) -> bytes:
    """A piece of a body in chunks; an empty one would be its end, so there must be some."""
    return b"%x\r\n%b\r\n" % (len(data), data)
