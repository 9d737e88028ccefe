"""Datagrams between copies: each copy is one address of the switch to all others."""

from __future__ import annotations

import asyncio
import random
from typing import cast

from testbed import events as log
from testbed.clock import RunClock
from testbed.links import Links

MOST_BYTES = 256
_MOST_WAITING = 20_000  # datagrams on their way; more are lost


class Relay:
    """The switch's part for datagrams."""

    def __init__(self, clock: RunClock, links: Links, writer: log.EventLogWriter, rng: random.Random) -> None:
        self._clock, self._links, self._writer, self._rng = clock, links, writer, rng
        self._places: list[_Place] = []
        self._everyone: _Place | None = None
        self._sources: dict[tuple[str, int], int] = {}
        self._targets: list[tuple[str, int]] = []
        self._waiting = 0
        self._is_closed = False

    async def start(self, host: str, listen: list[tuple[str, int]]) -> None:
        """Stand between copies that hear at these addresses."""
        self._targets = listen
        self._sources = {address: number for number, address in enumerate(listen)}
        self._places = [await self._place(host, number) for number in range(len(listen))]
        self._everyone = await self._place(host, None)

    async def _place(self, host: str, number: int | None) -> _Place:
        place = _Place(self, number)
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: place, local_addr=(host, 0))
        return place

    @property
    def peers(self) -> list[str]:
        """The address of each copy, as all others know it."""
        return [place.address for place in self._places]

    @property
    def broadcast_address(self) -> str:
        """The broadcast address."""
        assert self._everyone is not None
        return self._everyone.address

    def heard(self, source: tuple[str, int], target: int | None, data: bytes) -> None:
        """A datagram came to the address of one copy, or of everyone (None)."""
        sender = self._sources.get(source)
        if sender is None:
            return  # from nobody of the day
        for receiver in range(len(self._targets)) if target is None else (target,):
            if receiver != sender:
                self._passed(sender, receiver, data)

    def _passed(self, sender: int, receiver: int, data: bytes) -> None:
        now = self._clock.now()
        chances = self._rng.random(), self._rng.random(), self._rng.random()
        link = self._links.between(f"copy:{sender}", f"copy:{receiver}")
        arrivals = link.datagram_arrivals(now, chances)
        if len(data) > MOST_BYTES or self._waiting > _MOST_WAITING:
            arrivals = []
        if not arrivals:
            self._tell(sender, receiver, data, passed=False)
        for at in arrivals:
            self._waiting += 1
            loop = asyncio.get_running_loop()
            loop.call_later(self._clock.wait_s(at), self._deliver, sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        self._waiting -= 1
        if not self._is_closed:
            self._places[sender].send(data, self._targets[receiver])
            self._tell(sender, receiver, data, passed=True)

    def _tell(self, sender: int, receiver: int, data: bytes, *, passed: bool) -> None:
        at = self._clock.now()
        self._writer.write(
            log.DatagramSent(
                at_us=at, sender=sender, receiver=receiver, size_bytes=len(data), delivered=passed
            )
        )

    def close(self) -> None:
        """Close all sockets."""
        self._is_closed = True
        for endpoint in (*self._places, self._everyone):
            if endpoint is not None:
                endpoint.close()


class _Place(asyncio.DatagramProtocol):
    """One address of the switch."""

    def __init__(self, relay: Relay, number: int | None) -> None:
        self._relay, self._number = relay, number
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The event loop's own class is none of DatagramTransport, so there is nothing to check.
        self._transport = cast(asyncio.DatagramTransport, transport)

    @property
    def address(self) -> str:
        assert self._transport is not None
        host, port = self._transport.get_extra_info("sockname")
        return f"{host}:{port}"

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._relay.heard((addr[0], addr[1]), self._number, data)

    def error_received(self, exc: Exception) -> None:
        """Nobody hears there now: a datagram may be lost."""

    def send(self, data: bytes, target: tuple[str, int]) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, target)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
