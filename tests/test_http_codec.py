"""Malformed messages and the statuses that they get, limits, framing and trailing data in the HTTP codec."""

from __future__ import annotations

import pytest

from sidecar.http import (
    MalformedMessageError,
    RequestHead,
    RequestReader,
    ResponseHead,
    ResponseReader,
    Signal,
    chunk,
    request_head,
    response_head,
)
from sidecar.http.chunked import MAX_FRAMING_BYTES
from sidecar.http.grammar import HEAD_RULES, MAX_FIELDS, MAX_HEAD_BYTES

CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


def rejection(raw: bytes) -> tuple[str, int]:
    """Read a request that the codec must reject; return the reason and the status."""
    reader = RequestReader()

    def read_all() -> None:
        reader.receive(raw)
        while reader.next_event() not in (Signal.NEED_DATA, Signal.PAUSED):
            pass

    with pytest.raises(MalformedMessageError) as caught:
        read_all()
    return str(caught.value), caught.value.status


CASES = {
    "a line ends with a bare LF": (b"GET / HTTP/1.1\nHost: x\n\n", 400),
    "a CR stands alone": (b"GET / HTTP/1.1\r\nHost: x\ry\r\n\r\n", 400),
    "a NUL or another control character": (b"GET / HTTP/1.1\r\nHost: \0\r\n\r\n", 400),
    "a version other than 1.0 and 1.1": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505),
    "an empty line before the first": (b"\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    "a first line of another form": (b"GET / x HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    "a tunnel, which is not to be had here": (b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    "a folded line": (b"GET / HTTP/1.1\r\nHost: x\r\n y\r\n\r\n", 400),
    "white space before a colon": (b"GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400),
    "a field without a name": (b"GET / HTTP/1.1\r\n: x\r\n\r\n", 400),
    "a field without a colon, or with an odd name": (b"GET / HTTP/1.1\r\nHost\r\n\r\n", 400),
}


@pytest.mark.parametrize("rule", [rule.name for rule in HEAD_RULES])
def test_head_rule_rejects_its_example(rule: str) -> None:
    raw, status = CASES[rule]
    assert rejection(raw) == (rule, status)


FRAMED = b"POST / HTTP/1.1\r\nHost: x\r\n%b\r\n\r\n"


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        (b"Content-Length: 1\r\nContent-Length: 2", 400),
        (b"Content-Length: 1\r\nContent-Length: 1", 400),
        (b"Content-Length: 1, 1", 400),
        (b"Content-Length: +1", 400),
        (b"Content-Length: -1", 400),
        (b"Content-Length: 1_0", 400),
        (b"Content-Length: 0x10", 400),
        (b"Content-Length:", 400),
        (b"Content-Length: 1000000000000000000", 413),
        (b"Content-Length: 18446744073709551617", 400),
        (b"Content-Length: 1\r\nTransfer-Encoding: chunked", 400),
        (b"Transfer-Encoding: chunked\r\nContent-Length: 1", 400),
        (b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", 400),
        (b"Transfer-Encoding: gzip, chunked", 501),
        (b"Transfer-Encoding: chunked, gzip", 400),
        (b"Transfer-Encoding: identity", 400),
        (b"Host: y", 400),
    ],
)
def test_ambiguous_framing_is_rejected(fields: bytes, status: int) -> None:
    assert rejection(FRAMED % fields)[1] == status


@pytest.mark.parametrize(
    "body",
    [
        b"5\nhello\r\n0\r\n\r\n",
        b"5\r\nhello\n0\r\n\r\n",
        b"5\r\nhello0\r\n\r\n",
        b"5 \r\nhello\r\n0\r\n\r\n",
        b"g\r\n",
        b"-5\r\nhello\r\n0\r\n\r\n",
        b"0x5\r\nhello\r\n0\r\n\r\n",
        b"\r\nhello\r\n0\r\n\r\n",
        b"fffffffffffffffff\r\nhello",
        b"5\r\nhello\r\n0\r\nA : b\r\n\r\n",
        b"5\r\nhello\r\n0\r\nA\nB\r\n\r\n",
    ],
)
def test_malformed_chunks_are_rejected(body: bytes) -> None:
    assert rejection(CHUNKED + body)[1] == 400


def test_head_is_limited_in_length_and_number_of_fields() -> None:
    long = b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * MAX_HEAD_BYTES
    assert rejection(long)[1] == 431
    assert rejection(long + b"\r\n\r\n")[1] == 431
    many = b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a:\r\n" * MAX_FIELDS + b"\r\n"
    assert rejection(many)[1] == 431


@pytest.mark.parametrize(
    "framing", [b"5;" + b"a" * 100, b"0\r\n" + b"A: b\r\n" * 20], ids=["an extension", "trailers"]
)
def test_chunk_framing_is_limited(framing: bytes) -> None:
    # Guards against a body without data that never ends: its framing would use processing time forever.
    reader = RequestReader()
    reader.receive(CHUNKED + framing)
    head = reader.next_event()
    assert isinstance(head, RequestHead) and head.length is None
    more = b"a" * 100 if framing.startswith(b"5") else b"A: b\r\n" * 16

    def read_past_the_limit() -> None:
        for _ in range(MAX_FRAMING_BYTES // len(more) + 2):
            assert reader.next_event() is Signal.NEED_DATA
            reader.receive(more)

    with pytest.raises(MalformedMessageError):
        read_past_the_limit()


@pytest.mark.parametrize("piece_bytes", [1_000, 4 * MAX_FRAMING_BYTES])
def test_extensions_of_many_chunks_are_accepted(piece_bytes: int) -> None:
    # Guards against cutting off a long body because its chunks carry signatures.
    extended_chunk = b"40;chunk-signature=" + b"f" * 64 + b"\r\n" + b"x" * 64 + b"\r\n"
    count = 4 * MAX_FRAMING_BYTES // 64
    message = CHUNKED + extended_chunk * count + b"0\r\n\r\n"
    reader = RequestReader()
    body = b""
    for start in range(0, len(message), piece_bytes):
        reader.receive(message[start : start + piece_bytes])
        while isinstance(event := reader.next_event(), (bytes, RequestHead)):
            body += event if isinstance(event, bytes) else b""
    assert event is Signal.END
    assert len(body) == 64 * count


def test_framing_of_a_late_chunk_is_limited() -> None:
    # Guards against an allowance that a body saves up over many chunks and spends on one endless extension.
    reader = RequestReader()
    reader.receive(CHUNKED + b"1\r\nx\r\n" * 50_000)
    assert isinstance(reader.next_event(), RequestHead)
    assert reader.next_event() == b"x" * 50_000
    reader.receive(b"1;" + b"a" * (MAX_FRAMING_BYTES - 100))
    assert reader.next_event() is Signal.NEED_DATA
    reader.receive(b"a" * MAX_FRAMING_BYTES)
    with pytest.raises(MalformedMessageError):
        reader.next_event()


def test_many_small_chunks_are_accepted() -> None:
    reader = RequestReader()
    reader.receive(CHUNKED + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n")
    assert isinstance(reader.next_event(), RequestHead)
    assert reader.next_event() == b"x" * 50_000
    assert reader.next_event() is Signal.END
    assert reader.is_reusable and not reader.has_trailing_data


@pytest.mark.parametrize("tail", [b"\r", b"\n", b"\r\n", b"G", b"\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n", b"\0"])
@pytest.mark.parametrize("split_offset", range(-6, 1))
def test_trailing_data_after_chunked_body_is_detected(tail: bytes, split_offset: int) -> None:
    # Guards against request smuggling: llhttp skips line ends between messages and parses the next message.
    message = CHUNKED + b"1\r\nx\r\n0\r\n\r\n"
    split_at = len(message) + split_offset
    reader = RequestReader()
    events = []
    for part in (message[:split_at], (message + tail)[split_at:]):
        reader.receive(part)
        while (event := reader.next_event()) not in (Signal.NEED_DATA, Signal.PAUSED):
            events.append(event)
    assert events[1:] == [b"x", Signal.END]
    assert reader.has_trailing_data


def test_offered_upgrade_is_ignored() -> None:
    reader = RequestReader()
    fields = b"Connection: upgrade\r\nUpgrade: h2c\r\nTransfer-Encoding: chunked"
    reader.receive(FRAMED % fields + b"1\r\nx\r\n0\r\n\r\n")
    assert isinstance(reader.next_event(), RequestHead)
    assert [reader.next_event(), reader.next_event()] == [b"x", Signal.END]
    assert reader.is_reusable and not reader.has_trailing_data


@pytest.mark.parametrize(
    ("raw", "body", "reusable"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", b"ok", True),
        (b"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", b"ok", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: x, Close\r\n\r\nok", b"ok", False),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", b"ok", False),
        (b"HTTP/1.1 200 OK\r\n\r\nok", b"ok", False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n2\r\nok\r\n0\r\n\r\n", b"ok", True),
        (b"HTTP/1.1 204 None\r\nContent-Length: 2\r\n\r\n", b"", True),
        (b"HTTP/1.1 304 Same\r\nTransfer-Encoding: chunked\r\n\r\n", b"", True),
        (b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", b"ok", True),
    ],
)
def test_response_body_ends_as_its_head_declares(raw: bytes, body: bytes, reusable: bool) -> None:
    reader = ResponseReader()
    reader.receive(raw)
    reader.receive_end()
    assert isinstance(reader.next_event(), ResponseHead)
    if body:
        assert reader.next_event() == body
    assert reader.next_event() is Signal.END
    assert reader.is_reusable is reusable


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
        b"HTTP/1.1 100 Go on\r\n\r\n" * 17,
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
    ],
    ids=["switching protocols", "too many interim responses", "chunked HTTP/1.0", "two lengths", "bare LF"],
)
def test_malformed_response_is_rejected(raw: bytes) -> None:
    reader = ResponseReader()
    reader.receive(raw)
    with pytest.raises(MalformedMessageError):
        reader.next_event()


def test_written_messages_are_read_unchanged() -> None:
    reader = RequestReader()
    reader.receive(request_head(b"POST", b"/a", [(b"host", b"x"), (b"transfer-encoding", b"chunked")]))
    reader.receive(chunk(b"one") + chunk(b"two") + b"0\r\n\r\n")
    head = reader.next_event()
    assert isinstance(head, RequestHead) and (head.method, head.target) == (b"POST", b"/a")
    assert [reader.next_event(), reader.next_event()] == [b"onetwo", Signal.END]
    response_reader = ResponseReader()
    response_reader.receive(response_head(503, [(b"retry-after", b"0.5"), (b"content-length", b"0")]))
    response = response_reader.next_event()
    assert isinstance(response, ResponseHead) and response.status == 503
    assert response_reader.next_event() is Signal.END
