"""Compares the HTTP codec with h11: both read the same bytes, in one piece and in several.

A `ReadResult` holds what is compared: whether a message was accepted, its content, and whether data followed.
Where the results differ, the codec must be the stricter parser, for a reason listed in `STRICTER`.  A message
that the codec accepts and h11 rejects needs a reason in `MORE_LENIENT`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

import h11

from sidecar.http import (
    MalformedMessageError,
    RequestHead,
    RequestReader,
    ResponseHead,
    ResponseReader,
    Signal,
)

_COMPLETE_STATES = (h11.DONE, h11._state.MIGHT_SWITCH_PROTOCOL)


@dataclass(frozen=True)
class ReadResult:
    """The result of reading some bytes."""

    is_rejected: bool = False
    first: tuple[bytes, ...] = ()  # method and target, or the status
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    is_complete: bool = False
    is_reusable: bool = False  # no data followed, and another message may


REJECTED = ReadResult(is_rejected=True)


def _normalized(headers: Iterable[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    """Return headers with the transfer coding in lower case, as h11 returns them."""
    return tuple((name, value.lower() if name == b"transfer-encoding" else value) for name, value in headers)


def read_by_codec(parts: Iterable[bytes], *, is_request: bool) -> ReadResult:
    """Read one message with the codec from bytes that arrive in these parts."""
    reader: RequestReader | ResponseReader = RequestReader() if is_request else ResponseReader()
    first: tuple[bytes, ...] = ()
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body = b""
    is_complete = False
    try:
        for part in parts:
            reader.receive(part)
            while (event := reader.next_event()) is not Signal.NEED_DATA and event is not Signal.PAUSED:
                if isinstance(event, RequestHead):
                    first, headers = (event.method, event.target), _normalized(event.headers)
                elif isinstance(event, ResponseHead):
                    first, headers = (b"%d" % event.status,), _normalized(event.headers)
                elif isinstance(event, bytes):
                    body += event
                else:
                    is_complete = True
    except MalformedMessageError:
        return REJECTED
    return ReadResult(
        False, first, headers, body, is_complete, reader.is_reusable and not reader.has_trailing_data
    )


def read_by_h11(raw: bytes, *, is_request: bool) -> ReadResult:
    """Read one message with h11."""
    reader = h11.Connection(h11.SERVER if is_request else h11.CLIENT)
    if not is_request:
        reader.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        reader.send(h11.EndOfMessage())
    first: tuple[bytes, ...] = ()
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body = b""
    is_complete = False
    try:
        reader.receive_data(raw)
        while (event := reader.next_event()) is not h11.NEED_DATA and event is not h11.PAUSED:
            if isinstance(event, h11.Request):
                first, headers = (event.method, event.target), _normalized(event.headers)
            elif isinstance(event, h11.Response):
                first, headers = (b"%d" % event.status_code,), _normalized(event.headers)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                is_complete = True
                break
    except h11.RemoteProtocolError:
        return REJECTED
    is_reusable = reader.their_state in _COMPLETE_STATES and not reader.trailing_data[0]
    return ReadResult(False, first, headers, body, is_complete, is_reusable)


def cuts(raw: bytes) -> Iterable[list[bytes]]:
    """Yield the bytes in one piece, cut in two at every position, and as single bytes."""
    yield [raw]
    for position in range(1, len(raw)):
        yield [raw[:position], raw[position:]]
    yield [raw[position : position + 1] for position in range(len(raw))]


@dataclass(frozen=True)
class Reason:
    """Why the codec and h11 differ: a pattern of the messages concerned, and one example."""

    pattern: re.Pattern[bytes]
    example: bytes
    is_request: bool = True

    def covers(self, raw: bytes) -> bool:
        return self.pattern.search(raw) is not None


def _reason(pattern: bytes, example: bytes, *, is_request: bool = True) -> Reason:
    return Reason(re.compile(pattern, re.DOTALL), example, is_request)


def _request(fields: bytes = b"", first_line: bytes = b"GET / HTTP/1.1") -> bytes:
    return first_line + b"\r\nHost: x\r\n" + fields + b"\r\n"


def _chunked(body: bytes) -> bytes:
    return _request(b"Transfer-Encoding: chunked\r\n", b"POST / HTTP/1.1") + body


_METHODS = rb"DELETE|GET|HEAD|POST|PUT|OPTIONS|TRACE|PATCH"

# The rules of the codec by which it rejects messages that h11 accepts.
STRICTER = {
    "a bare LF does not end a line, as other parsers may not accept it as a line end": _reason(
        rb"(?<!\r)\n", _request(b"A: b\n")
    ),
    "a line is not folded, as parsers may read it as one line or as two": _reason(
        rb"\r\n[ \t]", _request(b"A: b\r\n c\r\n")
    ),
    "a field has no control characters": _reason(
        rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]", _request(b"A: \x01\r\n")
    ),
    "the version is 1.0 or 1.1": _reason(rb"HTTP/(?!1\.[01])", _request(first_line=b"GET / HTTP/1.2")),
    "the method is known to llhttp and not CONNECT, which no service class uses": _reason(
        rb"\A(?!(" + _METHODS + rb") )", _request(first_line=b"get / HTTP/1.1")
    ),
    "a target is a path or a URL": _reason(rb"\A[A-Z]+ [^/]", _request(first_line=b"GET x HTTP/1.1")),
    "a content-length occurs once and is not a list": _reason(
        rb"(?i)content-length:[^\r]*(,|\r\n.*content-length:)",
        _request(b"Content-Length: 0\r\nContent-Length: 0\r\n"),
    ),
    "a content-length has at most 18 digits": _reason(
        rb"(?i)content-length:[^\r]*[0-9]{19}", _request(b"Content-Length: 9999999999999999999\r\n")
    ),
    "a body with a content-length has no transfer coding, as its end would be ambiguous": _reason(
        rb"(?i)transfer-encoding:.*content-length:|content-length:.*transfer-encoding:",
        _request(b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
    ),
    "HTTP/1.0 has no transfer coding": _reason(
        rb"(?i)HTTP/1\.0.*transfer-encoding:", _request(b"Transfer-Encoding: chunked\r\n", b"POST / HTTP/1.0")
    ),
    "a chunk size is not followed by white space": _reason(
        rb"\n[0-9a-fA-F]+[ \t]", _chunked(b"5 \r\nhello\r\n0\r\n\r\n")
    ),
    "a chunk extension is a name, or a name with a token or a quoted string": _reason(
        rb"\n[0-9a-fA-F]+;", _chunked(b"5; \r\nhello\r\n0\r\n\r\n")
    ),
    "a chunk size fits into 64 bits": _reason(
        rb"\n[0-9a-fA-F]{17}", _chunked(b"10000000000000005\r\nhello\r\n")
    ),
    "a trailer has no framing headers": _reason(
        rb"(?i)\n0+\r\n.*(content-length|transfer-encoding)",
        _chunked(b"0\r\nContent-Length: 3\r\n\r\n"),
    ),
}

# The reasons why the codec accepts messages that h11 rejects.
MORE_LENIENT: dict[str, Reason] = {}


def disagreement(raw: bytes, *, is_request: bool) -> str | None:
    """Describe an unexpected difference between the codec and h11 on these bytes; None without one."""
    codec_result = read_by_codec([raw], is_request=is_request)
    h11_result = read_by_h11(raw, is_request=is_request)
    if codec_result == h11_result:
        return None
    if codec_result.is_rejected and not h11_result.is_rejected:
        if not h11_result.is_complete and read_by_h11(raw + b"\r\n", is_request=is_request).is_rejected:
            return None  # h11 rejects it too, once the line is complete
        is_expected = any(reason.covers(raw) for reason in STRICTER.values())
        return None if is_expected else f"rejected by the codec, read by h11 as {h11_result}"
    if h11_result.is_rejected and not codec_result.is_rejected:
        if not codec_result.is_complete and not codec_result.first:
            return None  # the codec waits for the rest of the head, which has a timeout
        is_expected = any(reason.covers(raw) for reason in MORE_LENIENT.values())
        return None if is_expected else f"rejected by h11, read by the codec as {codec_result}"
    return f"read by h11 as {h11_result}, by the codec as {codec_result}"
