"""Case 9: answers without a length that never end."""

from __future__ import annotations

import asyncio
import itertools

from standins2 import GRACE_S, Client, Discovery, Message, Place, Server, every, lane, main, settings

TIMEOUT_S = 0.75
WATCHED_S = 12.0
SPOILT = 10  # one of so many answers of the bad server


class Node(Server):
    """A server that sends some of its answers without a length; a bad one hangs in the middle of some."""

    is_bad = False

    def __init__(self, name: str, place: Place, zone: str) -> None:
        super().__init__(name, place.record, zone, work_s=0.02)
        self._numbers = itertools.count(1)

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer in two chunks; a bad server sends only the first of some."""
        number = self.run(request)
        await asyncio.sleep(self.work_s)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nanswer \r\n")
        await writer.drain()
        if self.is_bad and next(self._numbers) % SPOILT == 0:
            self.record(self.name, "hangs in the middle of an answer", request=number)
            await asyncio.Event().wait()
        rest = f"to {number}".encode()
        writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(rest), rest))
        await writer.drain()


async def case(place: Place) -> list[str]:
    """Send short requests to eight servers, of which one is bad."""
    nodes = [Node(f"node-{number}", place, "ab"[number % 2]) for number in range(8)]
    discovery = Discovery(place.record, list(nodes))
    await place.start_parties(*nodes, discovery)
    lanes = settings([lane("look", is_safe=True), lane("book", is_safe=False)])
    sidecar = await place.start_sidecar("n0", discovery, lanes)
    client = Client(sidecar.port, place.record)
    kinds = itertools.cycle([True, True, True, False])

    async def send() -> None:
        is_safe = next(kinds)
        name = "look" if is_safe else "book"
        await client.request(name, is_safe=is_safe, timeout_s=TIMEOUT_S, extra_s=WATCHED_S)

    async with every(1 / 40, send):
        await asyncio.sleep(4.0)
        bad = max(nodes, key=lambda node: len(node.ran))
        bad.is_bad = place.has_trouble
        place.record("platform", "server is bad" if place.has_trouble else "nothing happens", server=bad.name)
        await asyncio.sleep(12.0)
    lost = [outcome for outcome in client.outcomes if outcome.waited_s > TIMEOUT_S + GRACE_S]
    print(f"{len(client.outcomes)} requests, {len(lost)} without an end by {GRACE_S} s after their time")
    return [
        f"{outcome.number}: {outcome.kind} {outcome.status} {outcome.waited_s:.2f} s after its last byte"
        for outcome in lost
    ]


if __name__ == "__main__":
    main(case)
