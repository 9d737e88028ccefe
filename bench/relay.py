"""The least that a process between clients and servers can do: it passes bytes on, unread.

`python -m bench.relay PORT SERVER...`; each client's connection gets one to a server, in turn.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import Iterator
from typing import cast

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

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Client(End):
    """A client's connection: it has one to a server made."""

    def __init__(self, servers: Iterator[int]) -> None:
        super().__init__()
        self._servers = servers
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._task = asyncio.get_running_loop().create_task(self._dial())

    async def _dial(self) -> None:
        _, far = await asyncio.get_running_loop().create_connection(End, HOST, next(self._servers))
        far.other, self.other = self, far
        if self.early and far.transport is not None:
            far.transport.write(self.early)


async def relay(port: int, servers: list[int]) -> None:
    turn = itertools.cycle(servers)
    await asyncio.get_running_loop().create_server(lambda: Client(turn), HOST, port)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    uvloop.run(relay(int(sys.argv[1]), [int(each) for each in sys.argv[2:]]))
