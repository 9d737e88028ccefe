"""The datagram endpoint for messages between the sidecars of a cluster."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from sidecar.address import Address
from sidecar.cluster.limits import MAX_DATAGRAM_BYTES
from sidecar.socket_binding import bind_datagram_socket, bind_with_retry

_BIND_TIMEOUT_S = 2.0  # after which the sidecar serves without its peers


class Peers(asyncio.DatagramProtocol):
    """Sends datagrams to members by number, and passes received ones on with the sender's number."""

    def __init__(
        self,
        peers: tuple[Address, ...],
        broadcast_address: Address | None,
        local_number: int,
        on_datagram: Callable[[int, bytes], None],
    ) -> None:
        """Create the endpoint; `peers` are the addresses of all members by number, the local one included.

        A datagram to all members is sent once to `broadcast_address`, or to each member if that is None.
        `on_datagram` is called with the number of the sender and the payload.
        """
        self._local_number = local_number
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None
        self.unknown_sender_count = 0  # dropped datagrams: not from another member's address, or too long
        self.set_addresses(peers, broadcast_address)

    @property
    def is_listening(self) -> bool:
        """Whether the socket is open."""
        return self._transport is not None

    @property
    def size(self) -> int:
        """The number of configured members, the local one included."""
        return len(self._peers)

    def set_addresses(self, peers: tuple[Address, ...], broadcast_address: Address | None) -> None:
        """Replace the addresses of the members."""
        self._peers, self._broadcast_address = peers, broadcast_address
        self._numbers = {address: number for number, address in enumerate(peers)}

    async def listen(self, address: Address, *, shared: bool = False) -> None:
        """Open the socket; `shared` allows another process of this sidecar to bind the same address.

        Raises:
            OSError: if the address can't be bound.
        """
        bound = await bind_with_retry(lambda: bind_datagram_socket(address, shared=shared), _BIND_TIMEOUT_S)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=bound)

    def send(self, receiver: int | None, payload: bytes) -> bool:
        """Send to one member, or to all others (None).

        Returns False if the socket is closed, the payload is too long or there is no such member.
        """
        if self._transport is None or len(payload) > MAX_DATAGRAM_BYTES:
            return False
        if receiver is not None:
            if not 0 <= receiver < len(self._peers):
                return False
            self._transport.sendto(payload, self._peers[receiver])
        elif self._broadcast_address is not None:
            self._transport.sendto(payload, self._broadcast_address)
        else:
            for number, address in enumerate(self._peers):
                if number != self._local_number:
                    self._transport.sendto(payload, address)
        return True

    def close(self) -> None:
        """Close the socket; `listen` may open it again."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the event loop when the socket is open."""
        # A cast, as uvloop's transport does not derive from DatagramTransport, so isinstance would fail.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass on a datagram with its sender's number; called by the event loop."""
        number = self._numbers.get((addr[0], addr[1]))
        if number is None or number == self._local_number or len(data) > MAX_DATAGRAM_BYTES:
            self.unknown_sender_count += 1
            return
        self._on_datagram(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore an error of an earlier send: datagrams may be lost anyway."""
