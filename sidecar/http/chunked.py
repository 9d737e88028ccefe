"""A body in chunks, decoded by llhttp, with bounds on what is no body.

The decoder is given a head of its own before the body, so that nothing in the real one (an `Upgrade`, a
`Connection: close`) changes how llhttp reads what follows.
"""

from __future__ import annotations

import re

from httptools import HttpParserError, HttpRequestParser

from sidecar.http.grammar import MOST_HEAD, Malformed

MOST_BESIDE = MOST_HEAD  # bytes of chunk extensions and trailers in one body
_PER_CHUNK = 32  # bytes of framing that each chunk may have beyond that: its size, ends of lines, a word
_OWN_HEAD = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
_ENDS = re.compile(rb"[^\r\n]\r\n\r\n")


class ChunkedBody:
    """One body.  After its end, `has_more` says whether other bytes came with it."""

    def __init__(self) -> None:
        self.is_whole = False
        self.has_more = False
        self._pieces: list[bytes] = []
        self._last = b""  # the last bytes read
        self._beside = 0  # what was read and is no body
        self._chunks = 0
        self._parser = HttpRequestParser(self)
        self._parser.feed_data(_OWN_HEAD)

    def feed(self, data: bytes) -> bytes:
        """Give what of the body is in here; raise Malformed if its framing is broken."""
        try:
            self._parser.feed_data(data)
        except HttpParserError as fault:
            if not self.is_whole:
                raise Malformed(f"chunks: {fault}") from None
            self.has_more = True
        pieces, self._pieces = self._pieces, []
        body = pieces[0] if len(pieces) == 1 else b"".join(pieces)
        self._beside += len(data) - len(body)
        if self._beside > MOST_BESIDE + _PER_CHUNK * self._chunks:
            raise Malformed("chunks: too much beside the body")
        self._last = (self._last + data[-5:])[-5:]
        if self.is_whole and not _ENDS.fullmatch(self._last):
            self.has_more = True  # line ends, which llhttp skips before a message
        return body

    # What llhttp calls

    def on_message_begin(self) -> None:
        self.has_more = self.is_whole

    def on_chunk_header(self) -> None:
        self._chunks += 1

    def on_body(self, body: bytes) -> None:
        if not self.is_whole:
            self._pieces.append(body)

    def on_message_complete(self) -> None:
        self.is_whole = True
