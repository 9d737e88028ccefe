"""Parsing of a client's request, and the headers that are forwarded to a server."""

from __future__ import annotations

import pytest

from balancer.settings import Idempotency, ServiceClass
from sidecar.downstream.body_streaming import Upload
from sidecar.downstream.request_parsing import IncomingRequest, parse_request
from sidecar.downstream.request_validation import InvalidRequestError
from sidecar.http import Headers, RequestHead

CLASSES = {
    "read": ServiceClass(
        name="read", deadline_us=1_000, latency_objective_us=500, idempotency=Idempotency.IDEMPOTENT
    ),
    "write": ServiceClass(name="write", deadline_us=1_000, latency_objective_us=500),
}
TENANTS = frozenset({"acme"})
HEADERS: Headers = [
    (b"host", b"origin.svc"),
    (b"request-id", b"9b1f"),
    (b"request-class", b"read"),
    (b"request-timeout", b"1.5"),
]


def parse(*headers: tuple[bytes, bytes], target: bytes = b"/api/7f3a?x=1") -> IncomingRequest:
    """Parse a GET with further headers."""
    head = RequestHead(b"GET", target, [*HEADERS, *headers], False, 0, True, False)
    return parse_request(head, b"", CLASSES, TENANTS)


def test_hop_by_hop_request_headers_are_not_forwarded() -> None:
    incoming = parse((b"connection", b"close, X-Hop, host"), (b"x-hop", b"1"), (b"x-end", b"2"))
    assert incoming.headers == [*HEADERS[:3], (b"x-end", b"2")]


def test_protocol_header_that_occurs_twice_is_invalid() -> None:
    with pytest.raises(InvalidRequestError, match="request-id stands twice"):
        parse((b"request-id", b"9b20"))


@pytest.mark.parametrize(("tenant", "parsed"), [(b"acme", "acme"), (b"unknown", None)])
def test_request_tenant_is_none_unless_it_is_configured(tenant: bytes, parsed: str | None) -> None:
    assert parse((b"tenant", tenant)).tenant == parsed


@pytest.mark.parametrize("target", [b"/other/7f3a", b"/api/7f3a?y=2"])
def test_request_affinity_key_depends_on_the_resource_only(target: bytes) -> None:
    assert parse(target=target).affinity_key == parse().affinity_key is not None


def test_request_without_a_resource_has_no_affinity_key() -> None:
    assert parse(target=b"/").affinity_key is None


def test_outgoing_request_has_the_time_left_as_its_timeout() -> None:
    outgoing = parse().to_outgoing(250_000)
    assert outgoing.headers[-1] == (b"request-timeout", b"0.250")


def test_outgoing_streamed_request_has_at_most_the_timeout_of_its_client() -> None:
    head = RequestHead(
        b"POST", b"/", [*HEADERS[:2], (b"request-class", b"write"), HEADERS[3]], False, None, True, False
    )
    upload = Upload(None, lambda: None, lambda: None)
    outgoing = parse_request(head, upload, CLASSES, TENANTS).to_outgoing(60_000_000)
    assert outgoing.headers[-2:] == [(b"transfer-encoding", b"chunked"), (b"request-timeout", b"1.500")]
