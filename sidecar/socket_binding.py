"""Binds the sockets of a process at its start; tries again while the system lacks resources for a moment."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from sidecar.address import Address

NO_RESOURCES_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_BACKLOG = 1_024
_RETRY_S = 0.05
_TIMEOUT_S = 20.0  # a process that is ready late is better than one that ends


async def bind_with_retry(bind: Callable[[], socket.socket], timeout_s: float = _TIMEOUT_S) -> socket.socket:
    """Return what `bind` returns; while the system lacks resources, call it again for up to `timeout_s`.

    Raises OSError if that does not help, or if the address can't be bound.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + timeout_s
    while True:
        try:
            return bind()
        except OSError as error:
            if error.errno not in NO_RESOURCES_ERRORS or loop.time() >= ends_at:
                raise
        await asyncio.sleep(_RETRY_S)


def bind_listener(address: Address, backlog: int = _BACKLOG) -> socket.socket:
    """Return a listening TCP socket bound to the address; raise OSError if that fails."""
    listening = socket.socket(_family(address), socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(address)
        listening.listen(backlog)
    except OSError:
        listening.close()
        raise
    return listening


def bind_datagram_socket(address: Address, *, shared: bool) -> socket.socket:
    """Return a UDP socket bound to the address; raise OSError if that fails.

    `shared` allows another process of this sidecar to bind the same address.
    """
    datagrams = socket.socket(_family(address), socket.SOCK_DGRAM)
    try:
        if shared:
            datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        datagrams.bind(address)
        datagrams.setblocking(False)  # noqa: FBT003 - has no keyword
    except OSError:
        datagrams.close()
        raise
    return datagrams


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
