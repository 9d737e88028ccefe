"""Case 8: two of eight servers hang while long requests are sent to it."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import cast

from standins2 import GRACE_S, Client, Discovery, Place, Server, every, lane, main, settings

TIMEOUT_S = 0.75
SIZES_MB = (5, 6, 8)
RECEIVE_BUFFER = 64 << 10  # of the servers' sockets
WATCHED_S = 12.0
INTERVAL_S = 0.4
HUNG = 2  # of eight servers


class Node(Server):
    """A server that, once it hangs, reads nothing more and answers nothing."""

    def __init__(self, name: str, place: Place, zone: str) -> None:
        super().__init__(name, place.record, zone, work_s=0.02)
        self._transports: set[asyncio.Transport] = set()
        self._hangs = False
        self.receive_buffer = RECEIVE_BUFFER

    def hang(self) -> None:
        """Stop, as a process that is stuck: its connections stay open and silent."""
        self._hangs = True
        for transport in self._transports:
            if not transport.is_closing():
                transport.pause_reading()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer request after request until the server hangs."""
        transport = cast(asyncio.Transport, writer.transport)
        self._transports.add(transport)
        if self._hangs:
            transport.pause_reading()
        try:
            await super().serve(reader, writer)
        finally:
            self._transports.discard(transport)


async def case(place: Place) -> list[str]:
    """Send long requests to eight servers, of which two hang."""
    nodes = [Node(f"node-{number}", place, "ab"[number % 2]) for number in range(8)]
    discovery = Discovery(place.record, list(nodes))
    await place.start_parties(*nodes, discovery)
    lanes = settings([lane("look", is_safe=True), lane("book", is_safe=False)])
    sidecar = await place.start_sidecar("n0", discovery, lanes)
    client = Client(sidecar.port, place.record)
    sizes = itertools.cycle(SIZES_MB)
    started_at = time.monotonic()

    async def send() -> None:
        body = bytes(next(sizes) << 20)
        await client.request("book", is_safe=False, timeout_s=TIMEOUT_S, body=body, extra_s=WATCHED_S)

    async with every(INTERVAL_S, send):
        await asyncio.sleep(5.0)
        used = sorted(nodes, key=lambda node: -len(node.ran))
        for node in used[:HUNG] if place.has_trouble else []:
            node.hang()
            place.record("platform", "server hangs", server=node.name)
        await asyncio.sleep(10.0)
    place.record("platform", "sending ended", after_s=round(time.monotonic() - started_at, 1))
    taken = [outcome for outcome in client.outcomes if outcome.is_taken]
    in_time = [outcome for outcome in taken if outcome.waited_s <= TIMEOUT_S + GRACE_S]
    print(f"{len(client.outcomes)} requests, {len(taken)} written whole, {len(in_time)} answered in time")
    return [
        f"{outcome.number}: {outcome.kind} {outcome.status} {outcome.waited_s:.2f} s after its last byte"
        for outcome in taken
        if outcome.waited_s > TIMEOUT_S + GRACE_S
    ]


if __name__ == "__main__":
    main(case)
