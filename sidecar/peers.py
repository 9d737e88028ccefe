"""Datagrams between the sidecars of a cluster."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from sidecar.address import Address
from sidecar.cluster.limits import MAX_DATAGRAM_BYTES


class Peers(asyncio.DatagramProtocol):
    """Sends to the members of the cluster by number, and passes on datagrams with their sender's number."""

    def __init__(
        self,
        peers: tuple[Address, ...],
        broadcast_address: Address | None,
        local_number: int,
        on_datagram: Callable[[int, bytes], None],
    ) -> None:
        """`peers` are the addresses of all members by number; a datagram to all goes to `broadcast_address`.

        `on_datagram` is called with the number of the sender and the payload.
        """
        self._local_number = local_number
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None
        self.unknown_sender_count = 0  # datagrams that no other member sent, or that are too long
        self.set_addresses(peers, broadcast_address)

    @property
    def is_listening(self) -> bool:
        """Whether datagrams are received at present."""
        return self._transport is not None

    @property
    def size(self) -> int:
        """How many members the cluster has, this one included."""
        return len(self._peers)

    def set_addresses(self, peers: tuple[Address, ...], broadcast_address: Address | None) -> None:
        """The members have these addresses from now on."""
        self._peers, self._broadcast_address = peers, broadcast_address
        self._numbers = {address: number for number, address in enumerate(peers)}

    async def listen(self, address: Address, *, shared: bool = False) -> None:
        """Receive at this address, `shared` with another process of this sidecar; raise OSError."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=address, reuse_port=shared or None
        )

    def send(self, receiver: int | None, payload: bytes) -> bool:
        """Send to one member, or to all others (None); return False if that is not possible."""
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
        """Close the socket; it may listen again."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop: the socket is open."""
        # uvloop's class does not derive from DatagramTransport, so there is nothing to check.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Called by the event loop: a datagram came from this address."""
        number = self._numbers.get((addr[0], addr[1]))
        if number is None or number == self._local_number or len(data) > MAX_DATAGRAM_BYTES:
            self.unknown_sender_count += 1
            return
        self._on_datagram(number, data)

    def error_received(self, exc: Exception) -> None:
        """An error says no more than that a datagram may be lost."""
