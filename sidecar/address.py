"""Numeric network addresses, as written in the configuration and in endpoint lists."""

from __future__ import annotations

import ipaddress

Address = tuple[str, int]  # host and port, as the socket module expects them

_MAX_PORT = 65_535


def parse_address(value: object) -> Address:
    """Split `host:port`, where the host is an IPv4 address or a bracketed IPv6 one.

    Host names are rejected, because no DNS is available.

    Raises:
        ValueError: the value is not such a text, or the port is out of range.
    """
    if not isinstance(value, str):
        raise ValueError(f"expected address:port, got {value!r:.60}")  # noqa: TRY004 - callers catch ValueError
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(f"expected address:port with a numeric IP address, got {value!r:.60}") from None
    if not 0 <= number <= _MAX_PORT:
        raise ValueError(f"expected a port from 0 to {_MAX_PORT}, got {number}")
    return host.strip("[]"), number
