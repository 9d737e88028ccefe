"""Case 9: long answers in chunks that carry extensions."""

from __future__ import annotations

import asyncio
import hashlib
import itertools

from standins2 import Client, Discovery, Message, Place, Server, every, lane, main, settings

TIMEOUT_S = 0.75
WATCHED_S = 10.0
LENGTH = 2 << 20
CHUNK = 4 << 10
LONG = 10  # one of so many answers is long


class Node(Server):
    """A server that sends long answers in chunks, each with a signature as its extension."""

    def __init__(self, name: str, place: Place, zone: str) -> None:
        super().__init__(name, place.record, zone, work_s=0.02)
        self._signs = place.has_trouble
        self._numbers = itertools.count(1)
        self.cut: set[str] = set()  # requests whose long answer was not taken whole

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer, one time in ten at length."""
        if next(self._numbers) % LONG:
            await super().answer(request, writer)
            return
        number = self.run(request)
        await asyncio.sleep(self.work_s)
        self.cut.add(number)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        body = f"answer to {number} ".encode().ljust(LENGTH, b".")
        for start in range(0, LENGTH, CHUNK):
            piece = body[start : start + CHUNK]
            extension = b""
            if self._signs:
                extension = b";chunk-signature=" + hashlib.sha256(piece).hexdigest().encode()
            writer.write(b"%x%b\r\n%b\r\n" % (len(piece), extension, piece))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.cut.discard(number)
        self.record(self.name, "wrote a long answer whole", request=number)


async def case(place: Place) -> list[str]:
    """Send short requests to eight servers."""
    nodes = [Node(f"node-{number}", place, "ab"[number % 2]) for number in range(8)]
    discovery = Discovery(place.record, list(nodes))
    await place.start_parties(*nodes, discovery)
    sidecar = await place.start_sidecar("n0", discovery, settings([lane("look", is_safe=True)]))
    client = Client(sidecar.port, place.record)

    async def send() -> None:
        await client.request("look", is_safe=True, timeout_s=TIMEOUT_S, extra_s=WATCHED_S)

    async with every(1 / 20, send):
        await asyncio.sleep(10.0)
    whole = sum(outcome.kind == "answered" and len(outcome.body) == LENGTH for outcome in client.outcomes)
    print(f"{len(client.outcomes)} requests, {whole} long answers whole at their clients")
    return [
        f"{outcome.number}: {outcome.kind} {outcome.status}, its long answer was cut off"
        for outcome in client.outcomes
        if outcome.kind != "answered"
    ]


if __name__ == "__main__":
    main(case)
