"""Validates and parses message heads (RFC 9112, sections 2 to 6, without the leniencies it permits).

Heads are parsed by llhttp, which is lenient where other parsers may read the same bytes differently.  So each
head must match a strict pattern first; `HEAD_RULES` names what that pattern rejects, and with which status.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser, HttpResponseParser

MAX_HEAD_BYTES = 16 << 10  # of a head, including its empty line
MAX_FIELDS = 256  # header lines of a head

Headers = list[tuple[bytes, bytes]]

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_FIELD_VALUE = rb"[\t\x20-\x7e\x80-\xff]*+"
_FIELD_LINES = rb"(?:" + _TOKEN + rb":" + _FIELD_VALUE + rb"\r\n)*+\r\n"
_REQUEST = re.compile(rb"(?!CONNECT )" + _TOKEN + rb" [\x21-\x7e]++ HTTP/1\.[01]\r\n" + _FIELD_LINES)
_RESPONSE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9](?: " + _FIELD_VALUE + rb")?\r\n" + _FIELD_LINES)
_LENGTH = re.compile(rb"[0-9]+")
_MAX_LENGTH_DIGITS = 18  # of a content-length; a longer number may exceed a signed 64-bit integer
_BARE_LF = re.compile(rb"(?<!\r)\n")
_FIRST_BYTE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]")  # of a method or of `HTTP/`


class MalformedMessageError(Exception):
    """A message that is not HTTP/1.1, or that is rejected because parsers may read it differently.

    `status` is the status of the response that a client gets for it.
    """

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class HeadRule:
    """A defect that a head must not have, and the status that a client gets for it."""

    name: str
    is_broken_by: Callable[[bytes], object]  # the result is used as a truth value
    status: int = 400


def _search(pattern: bytes) -> Callable[[bytes], object]:
    return re.compile(pattern).search


_FIRST_LINE = re.compile(
    rb"(?:" + _TOKEN + rb" [\x21-\x7e]++ HTTP/|HTTP/1\.[01] [1-5][0-9][0-9](?: |\r)).*\r\n"
)

# The reason why a head does not match its strict pattern is the first rule that it breaks.  Heads that match
# are not checked against these rules.
HEAD_RULES = (
    HeadRule("a line ends with a bare LF", _BARE_LF.search),
    HeadRule("a CR stands alone", _search(rb"\r(?!\n)")),
    HeadRule("a NUL or another control character", _search(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")),
    HeadRule(
        "a version other than 1.0 and 1.1", _search(rb"\A\S+ \S+ HTTP/(?!1\.[01]\r)|\AHTTP/(?!1\.[01] )"), 505
    ),
    HeadRule("an empty line before the first", _search(rb"\A\r\n")),
    HeadRule("a first line of another form", lambda head: not _FIRST_LINE.match(head)),
    HeadRule("a tunnel, which is not to be had here", _search(rb"\ACONNECT ")),
    HeadRule("a folded line", _search(rb"\r\n[ \t]")),
    HeadRule("white space before a colon", _search(rb"\r\n[^:\r]*[ \t]:")),
    HeadRule("a field without a name", _search(rb"\r\n:")),
    HeadRule("a field without a colon, or with an odd name", lambda _: True),
)


@dataclass(slots=True)
class RequestHead:
    """A request's first line and fields; names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    is_http_1_0: bool
    length: int | None  # of the body in bytes; None: chunked
    keeps_alive: bool
    expects_continue: bool  # the client waits for status 100 before it sends the body


@dataclass(slots=True)
class ResponseHead:
    """A final response's status and fields; names are in lower case."""

    status: int
    headers: Headers
    is_chunked: bool
    length: int | None  # of the body in bytes; None: chunked, or until the connection ends
    keeps_alive: bool


class _FieldCollector:
    """Collects the target and the headers that llhttp parses."""

    __slots__ = ("_add", "headers", "target")

    def __init__(self) -> None:
        self.headers: Headers = []
        self.target = b""
        self._add = self.headers.append

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add((name.lower(), value.strip(b" \t")))


def check_partial_head(head: bytes | bytearray, start: int) -> None:
    """Reject an incomplete head that can't become valid; bytes before `start` were checked before."""
    if not _FIRST_BYTE.match(head):
        raise MalformedMessageError("a first line of another form")
    if _BARE_LF.search(head, max(start - 1, 0)) and not head.startswith(b"\n"):
        raise MalformedMessageError("a line ends with a bare LF")
    if len(head) > MAX_HEAD_BYTES:
        raise MalformedMessageError("the head is too long", 431)


def parse_request_head(head: bytes) -> RequestHead:
    """Parse a head from its first byte to its empty line; raise MalformedMessageError if it is invalid."""
    fields = _FieldCollector()
    parser = HttpRequestParser(fields)
    _parse(parser, head, _REQUEST)
    version_digit_at = head.find(b"\r\n") - 1
    framing = _Framing(fields.headers, is_http_1_0=head[version_digit_at] == 0x30)
    framing.check_host()
    length = None if framing.is_chunked else (framing.length or 0)
    return RequestHead(
        parser.get_method(),
        fields.target,
        fields.headers,
        framing.is_http_1_0,
        length,
        framing.keeps_alive,
        framing.expects_continue and length != 0 and not framing.is_http_1_0,
    )


def parse_response_head(head: bytes) -> ResponseHead:
    """Parse a head from its first byte to its empty line; raise MalformedMessageError if it is invalid."""
    fields = _FieldCollector()
    parser = HttpResponseParser(fields)
    _parse(parser, head, _RESPONSE)
    framing = _Framing(fields.headers, is_http_1_0=head[7] == 0x30)
    status = parser.get_status_code()
    if status == 101:
        raise MalformedMessageError("another protocol, which nobody asked for")
    is_empty = status < 200 or status in (204, 304)
    return ResponseHead(
        status,
        fields.headers,
        framing.is_chunked and not is_empty,
        0 if is_empty else framing.length,
        framing.keeps_alive,
    )


def _parse(parser: HttpRequestParser | HttpResponseParser, head: bytes, pattern: re.Pattern[bytes]) -> None:
    if len(head) > MAX_HEAD_BYTES:
        raise MalformedMessageError("the head is too long", 431)
    if pattern.fullmatch(head) is None:
        rule = next(rule for rule in HEAD_RULES if rule.is_broken_by(head))
        raise MalformedMessageError(rule.name, rule.status)
    if head.count(b"\n") > MAX_FIELDS + 2:
        raise MalformedMessageError("too many fields", 431)
    try:
        parser.feed_data(head)
    except HttpParserUpgrade:
        pass  # the peer offers an upgrade, which is ignored
    except HttpParserError as error:
        raise MalformedMessageError(str(error)) from None


class _Framing:
    """Determines where the body ends and whether the connection persists (RFC 9112, sections 6 and 9.3).

    Rejects what other parsers may interpret differently: a transfer coding together with a length or in
    HTTP/1.0, codings other than one `chunked`, and lengths that occur twice, even if they are equal, or that
    are not plain digits.
    """

    __slots__ = ("_hosts", "expects_continue", "is_chunked", "is_http_1_0", "keeps_alive", "length")

    def __init__(self, headers: Headers, *, is_http_1_0: bool) -> None:
        self.is_http_1_0 = is_http_1_0
        self.is_chunked = False
        self.length: int | None = None
        self.keeps_alive = not is_http_1_0
        self.expects_continue = False
        self._hosts = 0
        for name, value in headers:
            handle = _FRAMING_HEADERS.get(name)
            if handle is not None:
                handle(self, value)
        if self.is_chunked and (self.length is not None or is_http_1_0):
            raise MalformedMessageError("a transfer coding beside a length or in HTTP/1.0")

    def check_host(self) -> None:
        """Raise MalformedMessageError unless there is one `Host` header, which is optional in HTTP/1.0."""
        if self._hosts != 1 and not (self.is_http_1_0 and not self._hosts):
            raise MalformedMessageError("host is missing or stands twice")

    def _content_length(self, value: bytes) -> None:
        if self.length is not None:
            raise MalformedMessageError("content-length stands twice")
        if not _LENGTH.fullmatch(value):
            raise MalformedMessageError("content-length is no plain number")
        if len(value) > _MAX_LENGTH_DIGITS:
            raise MalformedMessageError("content-length is too long", 413)
        self.length = int(value)

    def _transfer_encoding(self, value: bytes) -> None:
        if self.is_chunked or value.lower() != b"chunked":
            raise MalformedMessageError("a transfer coding other than one chunked", 501)
        self.is_chunked = True

    def _connection(self, value: bytes) -> None:
        if b"close" in [option.strip(b" \t") for option in value.lower().split(b",")]:
            self.keeps_alive = False

    def _expect(self, value: bytes) -> None:
        self.expects_continue = value.lower() == b"100-continue"

    def _host(self, _: bytes) -> None:
        self._hosts += 1


_FRAMING_HEADERS: dict[bytes, Callable[[_Framing, bytes], None]] = {
    b"content-length": _Framing._content_length,
    b"transfer-encoding": _Framing._transfer_encoding,
    b"connection": _Framing._connection,
    b"expect": _Framing._expect,
    b"host": _Framing._host,
}
