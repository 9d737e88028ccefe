"""The codec held against h11: the same bytes to both, whole and in cuts.

Both verdicts are reduced to what matters here: was a message taken, with which body, and did more come with
it.  Where they differ, the codec has to be the stricter one, and for a reason that stands in `STRICTER`; what
it takes and h11 does not would stand in `LOOSER`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

import h11

from sidecar.http import MalformedMessage, RequestHead, RequestReader, ResponseHead, ResponseReader, Signal

_ENDED = (h11.DONE, h11._state.MIGHT_SWITCH_PROTOCOL)


@dataclass(frozen=True)
class Verdict:
    """What one reader made of some bytes."""

    is_refused: bool = False
    first: tuple[bytes, ...] = ()  # method and target, or the status
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    is_complete: bool = False
    is_reusable: bool = False  # nothing more came, and a further message may


REFUSED = Verdict(is_refused=True)


def _plain(headers: Iterable[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    """As h11 gives them: it writes a transfer coding in lower case."""
    return tuple((name, value.lower() if name == b"transfer-encoding" else value) for name, value in headers)


def ours(parts: Iterable[bytes], *, is_request: bool) -> Verdict:
    """What the codec makes of bytes that come in these parts, up to the end of one message."""
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
                    first, headers = (event.method, event.target), _plain(event.headers)
                elif isinstance(event, ResponseHead):
                    first, headers = (b"%d" % event.status,), _plain(event.headers)
                elif isinstance(event, bytes):
                    body += event
                else:
                    is_complete = True
    except MalformedMessage:
        return REFUSED
    return Verdict(
        False, first, headers, body, is_complete, reader.is_reusable and not reader.has_trailing_data
    )


def theirs(raw: bytes, *, is_request: bool) -> Verdict:
    """What h11 makes of the same bytes."""
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
                first, headers = (event.method, event.target), _plain(event.headers)
            elif isinstance(event, h11.Response):
                first, headers = (b"%d" % event.status_code,), _plain(event.headers)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                is_complete = True
                break
    except h11.RemoteProtocolError:
        return REFUSED
    is_reusable = reader.their_state in _ENDED and not reader.trailing_data[0]
    return Verdict(False, first, headers, body, is_complete, is_reusable)


def cuts(raw: bytes) -> Iterable[list[bytes]]:
    """The bytes whole, in two at every place, and one by one."""
    yield [raw]
    for at in range(1, len(raw)):
        yield [raw[:at], raw[at:]]
    yield [raw[at : at + 1] for at in range(len(raw))]


@dataclass(frozen=True)
class Reason:
    """Why the codec refuses what h11 takes: how such bytes look, and one case of it."""

    looks: re.Pattern[bytes]
    case: bytes
    is_request: bool = True

    def covers(self, raw: bytes) -> bool:
        return self.looks.search(raw) is not None


def _reason(looks: bytes, case: bytes, *, is_request: bool = True) -> Reason:
    return Reason(re.compile(looks, re.DOTALL), case, is_request)


def _get(fields: bytes = b"", first: bytes = b"GET / HTTP/1.1") -> bytes:
    return first + b"\r\nHost: x\r\n" + fields + b"\r\n"


def _chunked(body: bytes) -> bytes:
    return _get(b"Transfer-Encoding: chunked\r\n", b"POST / HTTP/1.1") + body


_METHODS = rb"DELETE|GET|HEAD|POST|PUT|OPTIONS|TRACE|PATCH"

# What h11 takes and the codec refuses.
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

# What h11 refuses and the codec takes.
LOOSER: dict[str, Reason] = {}


def disagreement(raw: bytes, *, is_request: bool) -> str | None:
    """What is wrong between the two on these bytes; None if all is well."""
    mine, other = ours([raw], is_request=is_request), theirs(raw, is_request=is_request)
    if mine == other:
        return None
    if mine.is_refused and not other.is_refused:
        if not other.is_complete and theirs(raw + b"\r\n", is_request=is_request).is_refused:
            return None  # h11 waits for the line's end before it says the same
        return None if any(each.covers(raw) for each in STRICTER.values()) else f"h11 takes it as {other}"
    if other.is_refused and not mine.is_refused:
        if not mine.is_complete and not mine.first:
            return None  # it waits for the rest of a head; the client's time to send it is bounded
        return (
            None if any(each.covers(raw) for each in LOOSER.values()) else f"h11 refuses it, taken as {mine}"
        )
    return f"h11 has {other}, not {mine}"
