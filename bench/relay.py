"""The least that a process between clients and servers can do: it passes bytes on, unread.

`python -m bench.relay PORT SERVER...`; each client's connection gets one to a server, in turn.  Without
arguments it stands in a sidecar's place, told by `$BALANCER_CONFIG` where to listen and who serves.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import uvloop

from bench.process import HOST


class End(asyncio.Protocol):
    """One of two connections that are tied together."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: End | None = None
        self.early = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The event loop's own class is none of asyncio's, so there is nothing to check.
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self.early += data
        else:
            self.other.transport.write(data)

    def connection_lost(self, _exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Client(End):
    """A client's connection: it has one to a server made."""

    def __init__(self, servers: Iterator[tuple[str, int]]) -> None:
        super().__init__()
        self._servers = servers
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._task = asyncio.get_running_loop().create_task(self._dial())

    async def _dial(self) -> None:
        _, far = await asyncio.get_running_loop().create_connection(End, *next(self._servers))
        far.other, self.other = self, far
        if self.early and far.transport is not None:
            far.transport.write(self.early)


class Asked(Client):
    """The same in a sidecar's place, where it is asked whether it is ready."""

    def data_received(self, data: bytes) -> None:
        if data.startswith(b"GET /_health ") and self.transport is not None:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            self.transport.close()
        else:
            super().data_received(data)


async def relay(port: int, servers: list[int]) -> None:
    turn = itertools.cycle((HOST, each) for each in servers)
    await asyncio.get_running_loop().create_server(lambda: Client(turn), HOST, port)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


async def sidecar(config: dict[str, Any]) -> None:
    turn = itertools.cycle(_address(each["addr"]) for each in config["known"]["servers"])
    for _ in range(int(config["settings"]["me"])):
        next(turn)  # each begins with another
    await asyncio.get_running_loop().create_server(lambda: Asked(turn), *_address(config["listen"]))
    await asyncio.get_running_loop().create_future()


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        uvloop.run(relay(int(sys.argv[1]), [int(each) for each in sys.argv[2:]]))
    else:
        uvloop.run(sidecar(json.loads(Path(os.environ["BALANCER_CONFIG"]).read_text())))
