"""Case 6: servers whose connection tables are full for some seconds end new connections at once."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time

from standins2 import (
    Client,
    Discovery,
    Outcome,
    Place,
    Server,
    every,
    lane,
    main,
    rejecting_windows,
    settings,
)

RATE = 60.0  # requests a second
FULL_S = 8.0  # less than the 10 s after which servers end connections that rest
SETTLE_S = 5.0
WATCHED_S = 20.0


class Node(Server):
    """A server that ends each new connection while its table is full; open connections go on."""

    is_full = False
    accepted_at: list[float]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer request after request, or end the connection at once."""
        self.accepted_at.append(time.monotonic())
        if self.is_full:
            self.record(self.name, "table full, connection ended")
            return
        await super().serve(reader, writer)


async def case(place: Place) -> list[str]:
    """Restart the sidecar, as planned, while the tables are full; watch it after they have room again."""
    nodes = [Node(f"node-{number}", place.record, "ab"[number % 2], work_s=0.03) for number in range(10)]
    accepted_at: list[float] = []
    for node in nodes:
        node.accepted_at = accepted_at
    discovery = Discovery(place.record, list(nodes))
    await place.start_parties(*nodes, discovery)
    lanes = settings([lane("look", is_safe=True), lane("book", is_safe=False)])
    kinds = itertools.cycle([True, True, True, False])
    ended: list[tuple[float, Outcome]] = []

    sidecar = await place.start_sidecar("n0", discovery, lanes)
    client = Client(sidecar.port, place.record)

    async def send() -> None:
        is_safe = next(kinds)
        outcome = await client.request("look" if is_safe else "book", is_safe=is_safe, timeout_s=0.75)
        ended.append((time.monotonic(), outcome))

    async with every(1 / RATE, send):
        await asyncio.sleep(4.0)
    client.close()
    sidecar.signal(signal.SIGTERM)
    await sidecar.process.wait()

    for node in nodes:
        node.is_full = place.has_trouble
    place.record("platform", "tables are full" if place.has_trouble else "nothing happens")
    sidecar = await place.start_sidecar("n0", discovery, lanes)
    client = Client(sidecar.port, place.record, "client-again")
    async with every(1 / RATE, send):
        await asyncio.sleep(FULL_S)
        for node in nodes:
            node.is_full = False
        place.record("platform", "tables have room")
        await asyncio.sleep(SETTLE_S)
        settled_at = time.monotonic()
        await asyncio.sleep(WATCHED_S)
    ran_at = accepted_at + [at for node in nodes for at in node.ran_at]
    late = [outcome for at, outcome in ended if at >= settled_at]
    served = sum(outcome.status == 200 for outcome in late)
    print(f"served {served} of {len(late)} from {SETTLE_S:.0f} s after the tables have room")
    return rejecting_windows(ended, ran_at, settled_at)


if __name__ == "__main__":
    main(case)
