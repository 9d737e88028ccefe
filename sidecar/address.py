"""Numeric network addresses, as the configuration and the endpoint list write them."""

from __future__ import annotations

import ipaddress

Address = tuple[str, int]  # host and port, as sockets take them

_MAX_PORT = 65_535


def parse_address(value: object) -> Address:
    """Split `host:port`, where the host is an IPv4 address or a bracketed IPv6 one.

    There is no DNS, so names are rejected.  Raise ValueError on anything else.
    """
    if not isinstance(value, str):
        raise ValueError(f"address:port is needed, not {value!r:.60}")  # noqa: TRY004 - as for other text
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(f"address:port is needed, not {value!r:.60}") from None
    if not 0 <= number <= _MAX_PORT:
        raise ValueError(f"a port from 0 to 65535 is needed, not {number}")
    return host.strip("[]"), number
