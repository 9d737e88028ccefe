"""What a message's head must be (RFC 9112, sections 2 to 6, without its leniencies).

A head is read by llhttp, which is lenient in places where two readers may then differ.  So each head is held
against one strict pattern first; the table names what that pattern refuses, and with which status.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser, HttpResponseParser

MOST_HEAD = 16 << 10  # bytes of a head, its empty line included
MOST_FIELDS = 256  # lines of a head after the first

Headers = list[tuple[bytes, bytes]]

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*+"
_FIELDS = rb"(?:" + _TOKEN + rb":" + _TEXT + rb"\r\n)*+\r\n"
_REQUEST = re.compile(rb"(?!CONNECT )" + _TOKEN + rb" [\x21-\x7e]++ HTTP/1\.[01]\r\n" + _FIELDS)
_RESPONSE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9](?: " + _TEXT + rb")?\r\n" + _FIELDS)
_LENGTH = re.compile(rb"[0-9]+")
_MOST_DIGITS = 18  # of a length; more would not fit into 64 bits, or nearly so
_BARE_LF = re.compile(rb"(?<!\r)\n")
_BEGINS = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]")  # methods and `HTTP/` alike


class Malformed(Exception):
    """What came is not HTTP/1.1 as read here.

    `status` is what a client gets for it; a server's answer is garbled, whatever the status.
    """

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class Rule:
    """One thing that a head must not have, and the status that a client gets for it."""

    name: str
    broken: Callable[[bytes], object]
    status: int = 400


def _found(pattern: bytes) -> Callable[[bytes], object]:
    return re.compile(pattern).search


_FIRST_LINE = re.compile(
    rb"(?:" + _TOKEN + rb" [\x21-\x7e]++ HTTP/|HTTP/1\.[01] [1-5][0-9][0-9](?: |\r)).*\r\n"
)

# Why a head does not fit the pattern: the first that is found.  Looked at only once it does not.
HEAD_RULES = (
    Rule("a line ends with a bare LF", _BARE_LF.search),
    Rule("a CR stands alone", _found(rb"\r(?!\n)")),
    Rule("a NUL or another control character", _found(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")),
    Rule(
        "a version other than 1.0 and 1.1", _found(rb"\A\S+ \S+ HTTP/(?!1\.[01]\r)|\AHTTP/(?!1\.[01] )"), 505
    ),
    Rule("an empty line before the first", _found(rb"\A\r\n")),
    Rule("a first line of another form", lambda head: not _FIRST_LINE.match(head)),
    Rule("a tunnel, which is not to be had here", _found(rb"\ACONNECT ")),
    Rule("a folded line", _found(rb"\r\n[ \t]")),
    Rule("white space before a colon", _found(rb"\r\n[^:\r]*[ \t]:")),
    Rule("a field without a name", _found(rb"\r\n:")),
    Rule("a field without a colon, or with an odd name", lambda _: True),
)


@dataclass(slots=True)
class RequestHead:
    """A request's first line and fields; names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    is_old: bool  # HTTP/1.0
    length: int | None  # of the body in bytes; None: it comes in chunks
    keeps_alive: bool
    expects: bool  # the client waits for 100 before it sends the body


@dataclass(slots=True)
class ResponseHead:
    """A final answer's status and fields; names are in lower case."""

    status: int
    headers: Headers
    is_chunked: bool
    length: int | None  # of the body in bytes; None: in chunks, or until the connection ends
    keeps_alive: bool


class _Fields:
    """What llhttp calls while it reads a head."""

    __slots__ = ("_add", "headers", "target")

    def __init__(self) -> None:
        self.headers: Headers = []
        self.target = b""
        self._add = self.headers.append

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add((name.lower(), value.strip(b" \t")))


def check_beginning(part: bytes | bytearray, start: int) -> None:
    """Refuse what can't become a head any more, before its end has come; `start` is where the news begin."""
    if not _BEGINS.match(part):
        raise Malformed("a first line of another form")
    if _BARE_LF.search(part, max(start - 1, 0)) and not part.startswith(b"\n"):
        raise Malformed("a line ends with a bare LF")
    if len(part) > MOST_HEAD:
        raise Malformed("the head is too long", 431)


def read_request_head(head: bytes) -> RequestHead:
    """Read a head from its first byte to its empty line; raise Malformed if it is none."""
    fields = _Fields()
    parser = HttpRequestParser(fields)
    _parse(parser, head, _REQUEST)
    version_at = head.find(b"\r\n") - 1
    framing = _Framing(fields.headers, is_old=head[version_at] == 0x30)
    framing.check_host()
    length = None if framing.is_chunked else (framing.length or 0)
    return RequestHead(
        parser.get_method(),
        fields.target,
        fields.headers,
        framing.is_old,
        length,
        framing.keeps_alive,
        framing.expects and length != 0 and not framing.is_old,
    )


def read_response_head(head: bytes) -> ResponseHead:
    """Read a head from its first byte to its empty line; raise Malformed if it is none."""
    fields = _Fields()
    parser = HttpResponseParser(fields)
    _parse(parser, head, _RESPONSE)
    framing = _Framing(fields.headers, is_old=head[7] == 0x30)
    status = parser.get_status_code()
    if status == 101:
        raise Malformed("another protocol, which nobody asked for")
    is_empty = status < 200 or status in (204, 304)
    return ResponseHead(
        status,
        fields.headers,
        framing.is_chunked and not is_empty,
        0 if is_empty else framing.length,
        framing.keeps_alive,
    )


def _parse(parser: HttpRequestParser | HttpResponseParser, head: bytes, pattern: re.Pattern[bytes]) -> None:
    if len(head) > MOST_HEAD:
        raise Malformed("the head is too long", 431)
    if pattern.fullmatch(head) is None:
        rule = next(each for each in HEAD_RULES if each.broken(head))
        raise Malformed(rule.name, rule.status)
    if head.count(b"\n") > MOST_FIELDS + 2:
        raise Malformed("too many fields", 431)
    try:
        parser.feed_data(head)
    except HttpParserUpgrade:
        pass  # a proposal, which is not taken up
    except HttpParserError as fault:
        raise Malformed(str(fault)) from None


class _Framing:
    """What a head says of its body's end and of the connection (RFC 9112, 6 and 9.3).

    Refused is what readers may differ on: a transfer coding beside a length or in HTTP/1.0, codings other
    than one `chunked`, and lengths that stand twice, even if they agree, or that are not plain digits.
    """

    __slots__ = ("_hosts", "expects", "is_chunked", "is_old", "keeps_alive", "length")

    def __init__(self, headers: Headers, is_old: bool) -> None:
        self.is_old = is_old
        self.is_chunked = False
        self.length: int | None = None
        self.keeps_alive = not is_old
        self.expects = False
        self._hosts = 0
        for name, value in headers:
            told = _TOLD.get(name)
            if told is not None:
                told(self, value)
        if self.is_chunked and (self.length is not None or is_old):
            raise Malformed("a transfer coding beside a length or in HTTP/1.0")

    def check_host(self) -> None:
        if self._hosts != 1 and not (self.is_old and not self._hosts):
            raise Malformed("host is missing or stands twice")

    def _content_length(self, value: bytes) -> None:
        if self.length is not None:
            raise Malformed("content-length stands twice")
        if not _LENGTH.fullmatch(value):
            raise Malformed("content-length is no plain number")
        if len(value) > _MOST_DIGITS:
            raise Malformed("content-length is too long", 413)
        self.length = int(value)

    def _transfer_encoding(self, value: bytes) -> None:
        if self.is_chunked or value.lower() != b"chunked":
            raise Malformed("a transfer coding other than one chunked", 501)
        self.is_chunked = True

    def _connection(self, value: bytes) -> None:
        if b"close" in [each.strip(b" \t") for each in value.lower().split(b",")]:
            self.keeps_alive = False

    def _expect(self, value: bytes) -> None:
        self.expects = value.lower() == b"100-continue"

    def _host(self, _: bytes) -> None:
        self._hosts += 1


_TOLD: dict[bytes, Callable[[_Framing, bytes], None]] = {
    b"content-length": _Framing._content_length,
    b"transfer-encoding": _Framing._transfer_encoding,
    b"connection": _Framing._connection,
    b"expect": _Framing._expect,
    b"host": _Framing._host,
}
