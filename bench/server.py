"""A stand-in for everything behind a sidecar: `python -m bench.server PORT...`.

The first port speaks as discovery, which lists the others as servers; these answer every request with a few
bytes.  It reads requests no further than their length needs.
"""

from __future__ import annotations

import asyncio
import json
import re
import sys
from typing import cast

import uvloop

from bench.process import HOST

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nserved"
_LENGTH = re.compile(rb"content-length: *([0-9]+)", re.IGNORECASE)


def entry(port: int) -> dict[str, object]:
    """A server's line in discovery's list."""
    return {"id": f"s-{port}", "addr": f"{HOST}:{port}", "zone": "a", "cell": 1, "state": "active"}


class Server(asyncio.Protocol):
    """Counts bytes until a request is whole, then answers."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._head = b""
        self._left = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The event loop's own class is none of asyncio's, so there is nothing to check.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        if self._left:
            self._left -= len(data)
        else:
            self._head += data
            end = self._head.find(b"\r\n\r\n")
            if end < 0:
                return
            found = _LENGTH.search(self._head, 0, end)
            self._left = (int(found[1]) if found else 0) - (len(self._head) - end - 4)
            self.heard(self._head[:end])
            self._head = b""
        if self._left <= 0:
            self._left = 0
            self._transport.write(self.answer())

    def heard(self, head: bytes) -> None:
        """A request's head came."""

    def answer(self) -> bytes:
        return ANSWER


class Discovery(Server):
    """Lists the servers; a watch is never answered, since nothing changes."""

    def __init__(self, ports: list[int]) -> None:
        super().__init__()
        listed = {"version": 1, "full": True, "servers": [entry(each) for each in ports]}
        body = json.dumps(listed).encode()
        self._list = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        self._waits = False

    def heard(self, head: bytes) -> None:
        self._waits = b"wait_ms=" in head and b"wait_ms=0" not in head

    def answer(self) -> bytes:
        return b"" if self._waits else self._list


async def serve(ports: list[int]) -> None:
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: Discovery(ports[1:]), HOST, ports[0])
    for port in ports[1:]:
        await loop.create_server(Server, HOST, port)
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)  # until whoever started it ends


if __name__ == "__main__":
    uvloop.run(serve([int(each) for each in sys.argv[1:]]))
