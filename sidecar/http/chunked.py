"""Decodes the chunked transfer coding with llhttp, with a limit on framing (RFC 9112, section 7.1).

The parser is fed a fixed head before the body, so that nothing in the message's own head (an `Upgrade`, a
`Connection: close`) changes how llhttp reads the body.
"""

from __future__ import annotations

import re

from httptools import HttpParserError, HttpRequestParser

from sidecar.http.grammar import MAX_HEAD_BYTES, MalformedMessageError

MAX_FRAMING_BYTES = MAX_HEAD_BYTES  # of one chunk's size line with its extensions, or of the trailers
_PARSER_HEAD = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
_LAST_LINE_AND_EMPTY_LINE = re.compile(rb"[^\r\n]\r\n\r\n")


class ChunkedBody:
    """The decoder of one body."""

    def __init__(self) -> None:
        self._last_bytes = b""
        self._framing_bytes = 0  # read since the last call of `feed` that read a chunk header
        self._chunks = _ChunkCollector()
        self._parser = HttpRequestParser(self._chunks)
        self._parser.feed_data(_PARSER_HEAD)

    @property
    def is_complete(self) -> bool:
        """Whether the body has ended."""
        return self._chunks.is_complete

    @property
    def has_trailing_data(self) -> bool:
        """Whether bytes were received beyond the body's end."""
        return self._chunks.has_trailing_data

    def feed(self, data: bytes) -> bytes:
        """Return the part of the body in received bytes; raise MalformedMessageError on invalid framing."""
        chunks = self._chunks
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            if not chunks.is_complete:
                raise MalformedMessageError(f"chunks: {error}") from None
            chunks.has_trailing_data = True
        pieces, chunks.pieces = chunks.pieces, []
        body = pieces[0] if len(pieces) == 1 else b"".join(pieces)
        self._limit_framing(len(data) - len(body))
        self._last_bytes = (self._last_bytes + data[-5:])[-5:]
        if chunks.is_complete and not _LAST_LINE_AND_EMPTY_LINE.fullmatch(self._last_bytes):
            chunks.has_trailing_data = True  # line ends, which llhttp skips before a message
        return body

    def _limit_framing(self, framing_bytes: int) -> None:
        """Limit the framing of each chunk and of the trailers, but not of all chunks of a body together.

        A body may have any number of chunks, and each of them may carry an extension.
        """
        new_chunks, self._chunks.new_chunks = self._chunks.new_chunks, 0
        self._framing_bytes += framing_bytes
        if self._framing_bytes > MAX_FRAMING_BYTES * (new_chunks + 1):
            raise MalformedMessageError("chunks: too much beside the body")
        if new_chunks:
            self._framing_bytes = 0


class _ChunkCollector:
    """Collects what llhttp parses; apart from `ChunkedBody`, as the parser refers to it (no cycle)."""

    def __init__(self) -> None:
        self.is_complete = False
        self.has_trailing_data = False
        self.pieces: list[bytes] = []
        self.new_chunks = 0  # whose header was read by the current call of `feed`

    # Called by llhttp

    def on_message_begin(self) -> None:
        """Called by the parser: a message begins; one that begins after the body is trailing data."""
        self.has_trailing_data = self.is_complete

    def on_chunk_header(self) -> None:
        """Called by the parser: a chunk begins."""
        self.new_chunks += 1

    def on_body(self, body: bytes) -> None:
        """Called by the parser: a piece of the body."""
        if not self.is_complete:
            self.pieces.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser: the body has ended."""
        self.is_complete = True
