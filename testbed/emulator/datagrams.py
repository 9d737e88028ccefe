"""The switch for datagrams: one address per replica, which all other replicas send to."""

from __future__ import annotations

import asyncio
import random
from typing import cast

from testbed import events as log
from testbed.clock import RunClock
from testbed.links import Links

MAX_DATAGRAM_BYTES = 256
_MAX_IN_FLIGHT = 20_000  # datagrams; further ones are dropped


class Relay:
    """Forwards datagrams between replicas over the links of the scenario run."""

    def __init__(self, clock: RunClock, links: Links, writer: log.EventLogWriter, rng: random.Random) -> None:
        self._clock, self._links, self._writer, self._rng = clock, links, writer, rng
        self._replica_endpoints: list[_Endpoint] = []
        self._broadcast_endpoint: _Endpoint | None = None
        self._replica_by_address: dict[tuple[str, int], int] = {}
        self._listen_addresses: list[tuple[str, int]] = []
        self._in_flight = 0
        self._is_closed = False

    async def start(self, host: str, listen: list[tuple[str, int]]) -> None:
        """Bind one address per replica and the broadcast address; replicas listen at `listen`."""
        self._listen_addresses = listen
        self._replica_by_address = {address: number for number, address in enumerate(listen)}
        self._replica_endpoints = [await self._bind_endpoint(host, number) for number in range(len(listen))]
        self._broadcast_endpoint = await self._bind_endpoint(host, None)

    async def _bind_endpoint(self, host: str, number: int | None) -> _Endpoint:
        endpoint = _Endpoint(self, number)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: endpoint, local_addr=(host, 0))
        return endpoint

    @property
    def peers(self) -> list[str]:
        """The address of each replica, as all others see it."""
        return [endpoint.address for endpoint in self._replica_endpoints]

    @property
    def broadcast_address(self) -> str:
        """The address whose datagrams are forwarded to all replicas but the sender."""
        assert self._broadcast_endpoint is not None
        return self._broadcast_endpoint.address

    def receive(self, source: tuple[str, int], target: int | None, data: bytes) -> None:
        """Forward a datagram sent to the address of one replica, or to the broadcast address (None)."""
        sender = self._replica_by_address.get(source)
        if sender is None:
            return  # not from a replica of this run
        for receiver in range(len(self._listen_addresses)) if target is None else (target,):
            if receiver != sender:
                self._forward(sender, receiver, data)

    def _forward(self, sender: int, receiver: int, data: bytes) -> None:
        now_us = self._clock.now()
        random_fractions = self._rng.random(), self._rng.random(), self._rng.random()
        link = self._links.between(f"copy:{sender}", f"copy:{receiver}")
        arrivals = link.datagram_arrivals(now_us, random_fractions)
        if len(data) > MAX_DATAGRAM_BYTES or self._in_flight > _MAX_IN_FLIGHT:
            arrivals = []
        if not arrivals:
            self._log(sender, receiver, data, delivered=False)
        for at_us in arrivals:
            self._in_flight += 1
            loop = asyncio.get_running_loop()
            loop.call_later(self._clock.wait_s(at_us), self._deliver, sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        self._in_flight -= 1
        if not self._is_closed:
            self._replica_endpoints[sender].send(data, self._listen_addresses[receiver])
            self._log(sender, receiver, data, delivered=True)

    def _log(self, sender: int, receiver: int, data: bytes, *, delivered: bool) -> None:
        at_us = self._clock.now()
        self._writer.write(
            log.DatagramSent(
                at_us=at_us, sender=sender, receiver=receiver, size_bytes=len(data), delivered=delivered
            )
        )

    def close(self) -> None:
        """Close all sockets."""
        self._is_closed = True
        for endpoint in (*self._replica_endpoints, self._broadcast_endpoint):
            if endpoint is not None:
                endpoint.close()


class _Endpoint(asyncio.DatagramProtocol):
    """One address of the switch: that of one replica, or the broadcast address (number None)."""

    def __init__(self, relay: Relay, number: int | None) -> None:
        self._relay, self._number = relay, number
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not subclasses of DatagramTransport, so no isinstance check is possible.
        self._transport = cast(asyncio.DatagramTransport, transport)

    @property
    def address(self) -> str:
        assert self._transport is not None
        host, port = self._transport.get_extra_info("sockname")
        return f"{host}:{port}"

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._relay.receive((addr[0], addr[1]), self._number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: nothing listens at the target, and datagrams may be lost."""

    def send(self, data: bytes, target: tuple[str, int]) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, target)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
