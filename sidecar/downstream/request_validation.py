"""Validates the headers of the platform's protocol in a client's request before it is forwarded.

Free of I/O, and compiled like the HTTP codec, because it runs for every request.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from balancer.settings import Idempotency, ServiceClass
from sidecar.http import RequestHead

_REQUEST_ID = re.compile(rb"[!-~]{1,128}")
_TIMEOUT_S = re.compile(rb"[0-9]{1,5}(\.[0-9]{0,9})?")
_WORK_HINT_US = re.compile(rb"[0-9]{1,15}")


class InvalidRequestError(Exception):
    """A valid HTTP request that violates the platform's protocol; the message is sent to its client."""


def required_header(protocol_headers: Mapping[bytes, bytes], name: bytes) -> bytes:
    """Return the value of a header; raise InvalidRequestError if it is missing."""
    value = protocol_headers.get(name)
    if value is None:
        raise InvalidRequestError(f"{name.decode()} is missing")
    return value


def requested_class(
    protocol_headers: Mapping[bytes, bytes], classes: Mapping[str, ServiceClass]
) -> ServiceClass:
    """Return the service class of a request; raise InvalidRequestError if its name is unknown."""
    name = required_header(protocol_headers, b"request-class").decode("latin-1")
    service_class = classes.get(name)
    if service_class is None:
        raise InvalidRequestError("request-class is unknown")
    return service_class


def requested_timeout_us(protocol_headers: Mapping[bytes, bytes]) -> int:
    """Return the client's timeout in microseconds; raise InvalidRequestError unless it is positive."""
    text = required_header(protocol_headers, b"request-timeout")
    timeout_us = round(float(text) * 1e6) if _TIMEOUT_S.fullmatch(text) else 0
    if timeout_us <= 0:
        raise InvalidRequestError("request-timeout is nonsense")
    return timeout_us


def requested_work_us(protocol_headers: Mapping[bytes, bytes]) -> int | None:
    """Return the client's work estimate in microseconds, if any; raise InvalidRequestError if invalid."""
    hint = protocol_headers.get(b"work-hint")
    if hint is None:
        return None
    if not _WORK_HINT_US.fullmatch(hint):
        raise InvalidRequestError("work-hint is nonsense")
    return int(hint)


def validate_request_id(protocol_headers: Mapping[bytes, bytes]) -> None:
    """Raise InvalidRequestError unless there is a request ID of 1 to 128 printable characters."""
    if not _REQUEST_ID.fullmatch(required_header(protocol_headers, b"request-id")):
        raise InvalidRequestError("request-id is nonsense")


def validate_idempotency(
    head: RequestHead, protocol_headers: Mapping[bytes, bytes], service_class: ServiceClass
) -> None:
    """Raise InvalidRequestError unless method and idempotency key are those of the service class."""
    idempotency = service_class.idempotency
    is_get = head.method == b"GET"
    if (head.method not in (b"GET", b"POST")) or is_get != (idempotency is Idempotency.IDEMPOTENT):
        raise InvalidRequestError("the method is not that of the class")
    key = protocol_headers.get(b"idempotency-key")
    if (key is not None) != (idempotency is Idempotency.WITH_KEY) or key == b"":
        raise InvalidRequestError("idempotency-key does not go with the class")
