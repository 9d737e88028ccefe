"""HTTP/1.1 codec without I/O: received bytes become events, and messages become bytes.

`grammar` validates and parses heads more strictly than the C parser does; `chunked` decodes the chunked
transfer coding; `reader` turns bytes into events; `writer` turns messages into bytes.
"""

from sidecar.http.grammar import Headers, MalformedMessageError, RequestHead, ResponseHead
from sidecar.http.reader import RequestReader, ResponseReader, Signal
from sidecar.http.writer import CONTINUE, LAST_CHUNK, chunk, request_head, response_head

__all__ = [
    "CONTINUE",
    "LAST_CHUNK",
    "Headers",
    "MalformedMessageError",
    "RequestHead",
    "RequestReader",
    "ResponseHead",
    "ResponseReader",
    "Signal",
    "chunk",
    "request_head",
    "response_head",
]
