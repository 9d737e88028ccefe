"""Parses a client's request and rewrites its headers for a server.

Free of I/O, and compiled like the HTTP codec, because it runs for every request.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass

from balancer.settings import Idempotency, ServiceClass
from sidecar.downstream.body_streaming import Upload
from sidecar.downstream.request_validation import (
    InvalidRequestError,
    requested_class,
    requested_timeout_us,
    requested_work_us,
    required_header,
    validate_idempotency,
    validate_request_id,
)
from sidecar.http import Headers, RequestHead
from sidecar.memory_budget import MemoryCharge
from sidecar.upstream.http_exchange import OutgoingRequest

CHUNKED = (b"transfer-encoding", b"chunked")

_PROTOCOL_HEADERS = frozenset(
    b"host request-id request-class tenant request-timeout client-retry work-hint idempotency-key".split()
)
# Headers that apply to one connection only (RFC 9110, 7.6.1), and those that are rewritten for the server.
_NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect"
    b" request-timeout content-length".split()
)
_ALWAYS_FORWARDED = frozenset((b"host", b"request-id", b"idempotency-key"))  # even if `Connection` names them


@dataclass(slots=True)
class IncomingRequest:
    """A client's request, parsed and validated."""

    service_class: str
    is_idempotent: bool
    request_id: bytes
    tenant: str | None
    affinity_key: int | None
    remaining_us: int
    cost_us: int | None
    is_client_retry: bool
    method: bytes
    target: bytes
    headers: Headers  # as forwarded, without `request-timeout`
    body: bytes
    upload: Upload | None = None  # replaces `body` if the body is streamed
    memory: MemoryCharge | None = None  # of the head and the buffered body

    def release_memory(self) -> None:
        """Stop counting the memory of the request, which has ended."""
        if self.memory is not None:
            self.memory.release()
        if self.upload is not None:
            self.upload.discard()

    def to_outgoing(self, time_left_us: int) -> OutgoingRequest:
        """Return the request to write to a server, with the time left in its `request-timeout` header."""
        if self.upload is not None:
            time_left_us = min(time_left_us, self.remaining_us)
        timeout = (b"request-timeout", b"%.3f" % (time_left_us / 1e6))
        return OutgoingRequest(self.method, self.target, [*self.headers, timeout], self.body, self.upload)


def parse_request(
    head: RequestHead,
    body: bytes | Upload,
    classes: Mapping[str, ServiceClass],
    tenants: frozenset[str],
) -> IncomingRequest:
    """Validate a request and prepare it for forwarding; raise InvalidRequestError if it is invalid."""
    protocol_headers: dict[bytes, bytes] = {}
    headers = _forwarded_headers(head, protocol_headers)
    required_header(protocol_headers, b"host")  # optional in HTTP/1.0, but required in requests to servers
    service_class = requested_class(protocol_headers, classes)
    validate_request_id(protocol_headers)
    remaining_us = requested_timeout_us(protocol_headers)
    validate_idempotency(head, protocol_headers, service_class)
    if not head.target.startswith(b"/"):
        raise InvalidRequestError("the target is no path")
    cost_us = requested_work_us(protocol_headers)
    length = len(body) if isinstance(body, bytes) else body.length
    if length is None:
        headers.append(CHUNKED)
    elif length or head.method != b"GET":
        headers.append((b"content-length", b"%d" % length))
    tenant = protocol_headers.get(b"tenant", b"").decode("latin-1")
    return IncomingRequest(
        service_class=service_class.name,
        is_idempotent=service_class.idempotency is Idempotency.IDEMPOTENT,
        request_id=protocol_headers[b"request-id"],
        tenant=tenant if tenant in tenants else None,
        affinity_key=_affinity_key(head.target),
        remaining_us=remaining_us,
        cost_us=cost_us,
        is_client_retry=protocol_headers.get(b"client-retry") == b"1",
        method=head.method,
        target=head.target,
        headers=headers,
        body=body if isinstance(body, bytes) else b"",
        upload=body if isinstance(body, Upload) else None,
    )


def _forwarded_headers(head: RequestHead, protocol_headers: dict[bytes, bytes]) -> Headers:
    """Return the headers to forward unchanged; add those of the platform's protocol to `protocol_headers`."""
    headers: Headers = []
    connection_options: set[bytes] = set()  # headers that `Connection` declares hop-by-hop
    for header in head.headers:
        name, value = header
        if name in _PROTOCOL_HEADERS:
            if name in protocol_headers:
                raise InvalidRequestError(f"{name.decode()} stands twice")
            protocol_headers[name] = value
        if name not in _NOT_FORWARDED:
            headers.append(header)
        elif name == b"connection":
            connection_options.update(token.strip().lower() for token in value.split(b","))
    if not connection_options:
        return headers
    return [
        header for header in headers if header[0] not in connection_options or header[0] in _ALWAYS_FORWARDED
    ]


def _affinity_key(target: bytes) -> int | None:
    """Return a hash of the target's last path segment, equal for all requests for one resource."""
    resource = target.partition(b"?")[0].rpartition(b"/")[2]
    return zlib.crc32(resource) if resource else None
