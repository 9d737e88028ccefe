"""Serializes messages.  Their headers were validated by `grammar` or come from the sidecar itself."""

from __future__ import annotations

from http import HTTPStatus

from sidecar.http.grammar import Headers

LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status.value, status.phrase.encode()) for status in HTTPStatus
}


def request_head(method: bytes, target: bytes, headers: Headers) -> bytes:
    """Return the head of a request, including the empty line."""
    lines = [b"%b: %b\r\n" % header for header in headers]
    return b"%b %b HTTP/1.1\r\n%b\r\n" % (method, target, b"".join(lines))


def response_head(status: int, headers: Headers) -> bytes:
    """Return the head of a response, including the empty line; the status is one of `HTTPStatus`."""
    lines = [b"%b: %b\r\n" % header for header in headers]
    return b"%b%b\r\n" % (_STATUS_LINES[status], b"".join(lines))


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body; `data` must not be empty, as an empty chunk ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
