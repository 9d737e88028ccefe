"""HTTP/1.1 as bytes, without any I/O: bytes in, events out.

`grammar` says what a head must be, beyond what the C parser checks; `chunked` decodes bodies in chunks;
`reader` turns bytes into events; `writer` turns messages into bytes.
"""

from sidecar.http.grammar import Headers, Malformed, RequestHead, ResponseHead
from sidecar.http.reader import RequestReader, ResponseReader, Signal
from sidecar.http.writer import CONTINUE, LAST_CHUNK, chunk, request_head, response_head

__all__ = [
    "CONTINUE",
    "LAST_CHUNK",
    "Headers",
    "Malformed",
    "RequestHead",
    "RequestReader",
    "ResponseHead",
    "ResponseReader",
    "Signal",
    "chunk",
    "request_head",
    "response_head",
]
