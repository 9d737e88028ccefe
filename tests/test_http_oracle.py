"""Compares the HTTP codec with h11 on messages composed of valid and invalid parts."""

from __future__ import annotations

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from oracle import MORE_LENIENT, STRICTER, Reason, cuts, disagreement, read_by_codec, read_by_h11

HOST = b"Host: x\r\n"
FIELDS = [
    b"A: b\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: 0\r\n",
    b"Content-Length: 5, 5\r\n",
    b"Content-Length: +5\r\n",
    b"Content-Length: -5\r\n",
    b"Content-Length: 0x5\r\n",
    b"Content-Length:\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: Chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"Transfer-Encoding:\tchunked \r\n",
    b"Connection: close\r\n",
    b"Connection: keep-alive\r\n",
    b"Connection: upgrade\r\nUpgrade: h2c\r\n",
    b"Expect: 100-continue\r\n",
    b"A:\r\n",
    b"A:b \t\r\n",
    b"A: b\r\n c\r\n",
    b"A : b\r\n",
    b" A: b\r\n",
    b": b\r\n",
    b"A b\r\n",
    b"A: b\n",
    b"A: \rb\r\n",
    b"A: \x00\r\n",
    b"A: \x01\r\n",
    b"A: \xff\r\n",
    b"A\xff: b\r\n",
    b"H\xc3\xa4: b\r\n",
    HOST,
]
REQUESTS = [
    b"GET / HTTP/1.1\r\n",
    b"POST /a?b=c HTTP/1.1\r\n",
    b"POST /a HTTP/1.0\r\n",
    b"HEAD / HTTP/1.1\r\n",
    b"FOO / HTTP/1.1\r\n",
    b"GET / HTTP/2.0\r\n",
    b"GET / HTTP/1.2\r\n",
    b"GET  / HTTP/1.1\r\n",
    b"GET / HTTP/1.1 \r\n",
    b"GET /\r\n",
    b"GET /\xff HTTP/1.1\r\n",
    b"GET /a b HTTP/1.1\r\n",
    b"GET * HTTP/1.1\r\n",
    b"CONNECT a:1 HTTP/1.1\r\n",
    b"get / HTTP/1.1\r\n",
    b"\r\nGET / HTTP/1.1\r\n",
    b"PRI * HTTP/2.0\r\n",
]
RESPONSES = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200\r\n",
    b"HTTP/1.1 200 \r\n",
    b"HTTP/1.0 200 OK\r\n",
    b"HTTP/1.1 204 No\r\n",
    b"HTTP/1.1 304 No\r\n",
    b"HTTP/1.1 503 Full\r\n",
    b"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 101 Switch\r\n",
    b"HTTP/1.1 600 Odd\r\n",
    b"HTTP/1.1 20 Odd\r\n",
    b"HTTP/1.1 2000 Odd\r\n",
    b"HTTP/1.1 200 a\x01b\r\n",
    b"HTTP/2.0 200 OK\r\n",
    b"HTTP/1.1  200 OK\r\n",
    b"http/1.1 200 OK\r\n",
]
BODIES = [
    b"",
    b"hello",
    b"hell",
    b"hello\r\n",
    b"helloGET / HTTP/1.1\r\n\r\n",
    b"5\r\nhello\r\n0\r\n\r\n",
    b"5\r\nhello\r\n0\r\n\r\n\r\n",
    b"5\r\nhello\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
    b"5\nhello\n0\n\n",
    b"5\r\nhello0\r\n\r\n",
    b"5 \r\nhello\r\n0\r\n\r\n",
    b"5;a=b\r\nhello\r\n0\r\n\r\n",
    b'5;a="b"\r\nhello\r\n0;c\r\n\r\n',
    b"+5\r\nhello\r\n0\r\n\r\n",
    b"0x5\r\nhello\r\n0\r\n\r\n",
    b"5g\r\nhello\r\n0\r\n\r\n",
    b"10000000000000005\r\nhello\r\n0\r\n\r\n",
    b"5\r\nhello\r\n0\r\nA: b\r\n\r\n",
    b"5\r\nhello\r\n0\r\nA: b\r\n",
    b"5\r\nhello\r\n0\r\nContent-Length: 3\r\n\r\n",
    b"5\r\nhello\r\n-0\r\n\r\n",
    b"00005\r\nhello\r\n000\r\n\r\n",
    b"5\r\nhello\r\n",
]


def message(first_lines: list[bytes]) -> st.SearchStrategy[bytes]:
    """Return a strategy for messages of valid and invalid parts in any order, some with one byte changed."""
    fields = st.lists(st.sampled_from(FIELDS), max_size=4).map(b"".join)
    parts = st.tuples(
        st.sampled_from(first_lines), fields, st.sampled_from([HOST, b""]), st.sampled_from(BODIES)
    )
    unchanged = parts.map(lambda part: part[0] + part[2] + part[1] + b"\r\n" + part[3])
    changed = st.tuples(unchanged, st.integers(0, 400), st.integers(0, 255)).map(_with_byte_changed)
    return st.one_of(unchanged, unchanged, changed)


def _with_byte_changed(change: tuple[bytes, int, int]) -> bytes:
    raw, position, byte = change
    position %= len(raw)
    return raw[:position] + bytes([byte]) + raw[position + 1 :]


# `derandomize` seeds the examples by the source of the test function, so a change of its names changes them.


@settings(max_examples=1_200, deadline=None, derandomize=True, database=None)
@given(message(REQUESTS))
@example(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n\r\n")
def test_requests_are_read_as_by_h11_or_rejected_for_a_reason(raw: bytes) -> None:
    assert disagreement(raw, is_request=True) is None


@settings(max_examples=1_200, deadline=None, derandomize=True, database=None)
@given(message(RESPONSES))
def test_responses_are_read_as_by_h11_or_rejected_for_a_reason(raw: bytes) -> None:
    assert disagreement(raw, is_request=False) is None


@pytest.mark.parametrize("is_request", [True, False], ids=["requests", "responses"])
def test_result_does_not_depend_on_how_bytes_are_cut(is_request: bool) -> None:
    # Guards against request smuggling: a message that is rejected in one piece must not pass in several.
    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(message(REQUESTS if is_request else RESPONSES))
    def every_cut(raw: bytes) -> None:
        whole = read_by_codec([raw], is_request=is_request)
        for parts in cuts(raw):
            assert read_by_codec(parts, is_request=is_request) == whole, parts

    every_cut()


@pytest.mark.parametrize(
    "reason", [*STRICTER.values(), *MORE_LENIENT.values()], ids=[*STRICTER, *MORE_LENIENT]
)
def test_reason_for_a_difference_from_h11_covers_its_example(reason: Reason) -> None:
    codec_result = read_by_codec([reason.example], is_request=reason.is_request)
    h11_result = read_by_h11(reason.example, is_request=reason.is_request)
    assert reason.covers(reason.example)
    assert codec_result.is_rejected != h11_result.is_rejected
