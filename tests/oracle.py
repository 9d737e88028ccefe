"""Compares the codec with h11: both read the same bytes, in one piece and in several.

Verdicts hold what matters here: whether a message was accepted, with which body, and whether more followed.
Where they differ, the codec must be the stricter one, for a reason listed in `STRICTER`; what it accepts and
h11 rejects would be listed in `MORE_LENIENT`.
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
class Verdict:
    """The result of reading some bytes."""

    is_rejected: bool = False
    first: tuple[bytes, ...] = ()  # method and target, or the status
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    is_complete: bool = False
    is_reusable: bool = False  # nothing more came, and a further message may


REJECTED = Verdict(is_rejected=True)


def _normalized(headers: Iterable[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    """Return headers as h11 does: it writes a transfer coding in lower case."""
    return tuple((name, value.lower() if name == b"transfer-encoding" else value) for name, value in headers)


def read_by_codec(parts: Iterable[bytes], *, is_request: bool) -> Verdict:
    """Read bytes that arrive in these parts by the codec, up to the end of one message."""
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
    return Verdict(
        False, first, headers, body, is_complete, reader.is_reusable and not reader.has_trailing_data
    )


def read_by_h11(raw: bytes, *, is_request: bool) -> Verdict:
    """Read the same bytes by h11."""
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
    return Verdict(False, first, headers, body, is_complete, is_reusable)


def cuts(raw: bytes) -> Iterable[list[bytes]]:
    """Yield the bytes in one piece, cut in two at every place, and one by one."""
    yield [raw]
    for at in range(1, len(raw)):
        yield [raw[:at], raw[at:]]
    yield [raw[at : at + 1] for at in range(len(raw))]


@dataclass(frozen=True)
class Reason:
    """Why the codec rejects what h11 accepts: a pattern of such bytes, and one example."""

    pattern: re.Pattern[bytes]
    example: bytes
    is_request: bool = True

    def covers(self, raw: bytes) -> bool:
        return self.pattern.search(raw) is not None


def _reason(pattern: bytes, example: bytes, *, is_request: bool = True) -> Reason:
    return Reason(re.compile(pattern, re.DOTALL), example, is_request)


def _get(fields: bytes = b"", first: bytes = b"GET / HTTP/1.1") -> bytes:
    return first + b"\r\nHost: x\r\n" + fields + b"\r\n"


def _chunked(body: bytes) -> bytes:
    return _get(b"Transfer-Encoding: chunked\r\n", b"POST / HTTP/1.1") + body


_METHODS = rb"DELETE|GET|HEAD|POST|PUT|OPTIONS|TRACE|PATCH"

# What h11 accepts and the codec rejects.
STRICTER = {
    "a bare LF ends no line: others may see one line there": _reason(rb"(?<!\r)\n", _get(b"A: b\n")),
    "a folded line is one line to some and two to others": _reason(rb"\r\n[ \t]", _get(b"A: b\r\n c\r\n")),
    "control characters have no business in a field": _reason(
        rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]", _get(b"A: \x01\r\n")
    ),
    "no versions but 1.0 and 1.1 are spoken": _reason(rb"HTTP/(?!1\.[01])", _get(first=b"GET / HTTP/1.2")),
    "CONNECT, and what llhttp does not know, is the method of no class": _reason(
        rb"\A(?!(" + _METHODS + rb") )", _get(first=b"get / HTTP/1.1")
    ),
    "a target is a path or an address": _reason(rb"\A[A-Z]+ [^/]", _get(first=b"GET x HTTP/1.1")),
    "a length stands once and is no list": _reason(
        rb"(?i)content-length:[^\r]*(,|\r\n.*content-length:)",
        _get(b"Content-Length: 0\r\nContent-Length: 0\r\n"),
    ),
    "a length of over 18 digits is too long": _reason(
        rb"(?i)content-length:[^\r]*[0-9]{19}", _get(b"Content-Length: 9999999999999999999\r\n")
    ),
    "a transfer coding beside a length gives a body two ends": _reason(
        rb"(?i)transfer-encoding:.*content-length:|content-length:.*transfer-encoding:",
        _get(b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
    ),
    "HTTP/1.0 knows no transfer coding": _reason(
        rb"(?i)HTTP/1\.0.*transfer-encoding:", _get(b"Transfer-Encoding: chunked\r\n", b"POST / HTTP/1.0")
    ),
    "white space behind a size is none of it": _reason(
        rb"\n[0-9a-fA-F]+[ \t]", _chunked(b"5 \r\nhello\r\n0\r\n\r\n")
    ),
    "an extension is a name, or a name with a token or a text": _reason(
        rb"\n[0-9a-fA-F]+;", _chunked(b"5; \r\nhello\r\n0\r\n\r\n")
    ),
    "a size over 64 bits is none": _reason(
        rb"\n[0-9a-fA-F]{17}", _chunked(b"10000000000000005\r\nhello\r\n")
    ),
    "a trailer frames nothing": _reason(
        rb"(?i)\n0+\r\n.*(content-length|transfer-encoding)",
        _chunked(b"0\r\nContent-Length: 3\r\n\r\n"),
    ),
}

# What h11 rejects and the codec accepts.
MORE_LENIENT: dict[str, Reason] = {}


def disagreement(raw: bytes, *, is_request: bool) -> str | None:
    """Describe an unexpected difference between the two on these bytes; None if there is none."""
    own, other = read_by_codec([raw], is_request=is_request), read_by_h11(raw, is_request=is_request)
    if own == other:
        return None
    if own.is_rejected and not other.is_rejected:
        if not other.is_complete and read_by_h11(raw + b"\r\n", is_request=is_request).is_rejected:
            return None  # h11 waits for the line's end before it says the same
        is_expected = any(reason.covers(raw) for reason in STRICTER.values())
        return None if is_expected else f"h11 accepts it as {other}"
    if other.is_rejected and not own.is_rejected:
        if not own.is_complete and not own.first:
            return None  # it waits for the rest of a head; the client's time to send it is bounded
        is_expected = any(reason.covers(raw) for reason in MORE_LENIENT.values())
        return None if is_expected else f"h11 rejects it, accepted as {own}"
    return f"h11 has {other}, not {own}"
