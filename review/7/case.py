"""Case 7: clients that leave in the middle of a long request, where the settings allow no cancelling."""

from __future__ import annotations

import asyncio
import itertools
import time

from standins2 import (
    HOST,
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

RATE = 23.0  # requests a second of the client that stays
LEAVING_RATE = 5.0
LEAVING_S = 33.0
SETTLE_S = 5.0
WATCHED_S = 12.0
BODY_TIMEOUT_S = 60.0  # after which a server ends a connection whose request does not go on
LENGTH = 1 << 20
SENT = 200 << 10


class Node(Server):
    """A server that waits a minute for the rest of a request."""

    accepted_at: list[float]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer request after request."""
        self.accepted_at.append(time.monotonic())
        await super().serve(reader, writer)


async def leave(port: int, place: Place, number: str) -> None:
    """Send a part of a long request, then close the connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    head = (
        f"POST /api/{number} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {number}\r\n"
        f"Request-Class: book\r\nRequest-Timeout: 0.750\r\nContent-Length: {LENGTH}\r\n\r\n"
    )
    try:
        writer.write(head.encode() + bytes(SENT))
        await writer.drain()
        await asyncio.sleep(0.05)
        place.record("client-leaving", "left", request=number, sent=SENT, length=LENGTH)
    finally:
        writer.close()
    del reader


async def case(place: Place) -> list[str]:
    """Let clients leave in the middle of long requests, then watch how another client is served."""
    nodes = [Node(f"node-{number}", place.record, "ab"[number % 2], work_s=0.03) for number in range(8)]
    accepted_at: list[float] = []
    for node in nodes:
        node.accepted_at = accepted_at
        node.body_timeout_s = BODY_TIMEOUT_S
    discovery = Discovery(place.record, list(nodes))
    await place.start_parties(*nodes, discovery)
    bounds = settings([lane("look", is_safe=True), lane("book", is_safe=False)])
    bounds["bounds"]["mayCancel"] = False
    sidecar = await place.start_sidecar("n0", discovery, bounds)
    client = Client(sidecar.port, place.record)
    kinds = itertools.cycle([True, True, True, False])
    numbers = itertools.count(1)
    ended: list[tuple[float, Outcome]] = []

    async def send() -> None:
        is_safe = next(kinds)
        outcome = await client.request("look" if is_safe else "book", is_safe=is_safe, timeout_s=0.75)
        ended.append((time.monotonic(), outcome))

    async def send_and_leave() -> None:
        if place.has_trouble:
            await leave(sidecar.port, place, f"leaving-{next(numbers):04d}")

    async with every(1 / RATE, send):
        await asyncio.sleep(3.0)
        async with every(1 / LEAVING_RATE, send_and_leave):
            await asyncio.sleep(LEAVING_S)
        place.record("platform", "no client leaves any more")
        await asyncio.sleep(SETTLE_S)
        settled_at = time.monotonic()
        await asyncio.sleep(WATCHED_S)
    late = [outcome for at, outcome in ended if at >= settled_at]
    served = sum(outcome.status == 200 for outcome in late)
    print(f"served {served} of {len(late)} from {SETTLE_S:.0f} s after the last client has left")
    ran_at = accepted_at + [at for node in nodes for at in node.ran_at]
    return rejecting_windows(ended, ran_at, settled_at)


if __name__ == "__main__":
    main(case)
