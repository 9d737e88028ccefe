"""Case 6: one of eight servers is bad: it accepts connections and ends them at once."""

from __future__ import annotations

import asyncio
import itertools
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

RATE = 80.0  # requests a second
AIM_MS, GIVE_UP_MS = 100, 300
SERVERS = 40
BAD = 5  # one of eight
BAD_S = 75.0
SETTLE_S = 5.0
WATCHED_S = 15.0


class Node(Server):
    """A server that, while it is bad, ends its connections, new ones right after it has accepted them."""

    is_bad = False
    accepted_at: list[float]
    connections: set[asyncio.StreamWriter]

    def fail(self) -> None:
        """Be bad from now on."""
        self.is_bad = True
        for writer in self.connections:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer request after request, or end the connection at once."""
        self.accepted_at.append(time.monotonic())
        if self.is_bad:
            self.record(self.name, "accepted, ended")
            return
        self.connections.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.connections.discard(writer)


async def case(place: Place) -> list[str]:
    """Let one of eight servers be bad for a while; watch the sidecar when all servers are sound again."""
    nodes = [Node(f"node-{number}", place.record, "ab"[number % 2], work_s=0.03) for number in range(SERVERS)]
    accepted_at: list[float] = []
    for node in nodes:
        node.accepted_at, node.connections = accepted_at, set()
    discovery = Discovery(place.record, list(nodes))
    await place.start_parties(*nodes, discovery)
    lanes = [
        lane("look", is_safe=True, give_up_ms=GIVE_UP_MS, aim_ms=AIM_MS),
        lane("book", is_safe=False, give_up_ms=GIVE_UP_MS, aim_ms=AIM_MS),
    ]
    sidecar = await place.start_sidecar("n0", discovery, settings(lanes))
    client = Client(sidecar.port, place.record)
    kinds = itertools.cycle([True, True, True, False])
    ended: list[tuple[float, Outcome]] = []

    async def send() -> None:
        is_safe = next(kinds)
        name = "look" if is_safe else "book"
        outcome = await client.request(name, is_safe=is_safe, timeout_s=GIVE_UP_MS / 1_000)
        ended.append((time.monotonic(), outcome))

    async with every(1 / RATE, send):
        await asyncio.sleep(4.0)
        bad = sorted(nodes, key=lambda node: -len(node.ran))[:BAD]
        for node in bad if place.has_trouble else []:
            node.fail()
        place.record(
            "platform",
            "servers are bad" if place.has_trouble else "nothing happens",
            servers=[node.name for node in bad],
        )
        await asyncio.sleep(BAD_S)
        for node in bad:
            node.is_bad = False
        place.record("platform", "all servers are sound")
        await asyncio.sleep(SETTLE_S)
        settled_at = time.monotonic()
        await asyncio.sleep(WATCHED_S)
    late = [outcome for at, outcome in ended if at >= settled_at]
    served = sum(outcome.status == 200 for outcome in late)
    print(f"served {served} of {len(late)} from {SETTLE_S:.0f} s after all servers are sound again")
    attempts = accepted_at + [at for node in nodes for at in node.ran_at]
    return rejecting_windows(ended, attempts, settled_at)


if __name__ == "__main__":
    main(case)
