"""Stand-ins behind a sidecar, as many as a list names: `python -m bench.listed SIZE...`.

One process answers at as many ports of loopback as the longest list has servers, and speaks as discovery at
one more port for each list.  The system chooses the ports; the first line out is JSON that names them.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Sequence
from typing import Any

import uvloop

from bench.process import HOST
from bench.server import Discovery, Server

ZONES = 5  # in two regions; the decisions know of zones alone
STARTED_MS = 1_700_000_000_000  # long ago: no server of the list is cold


def entry(number: int, port: int, zones: int = ZONES) -> dict[str, object]:
    """A server's line in discovery's list, in the zone that its number gives."""
    return {
        "id": f"s-{number:04}",
        "addr": f"{HOST}:{port}",
        "zone": f"z{number % zones}",
        "cell": number % 8,
        "kind": "std",
        "state": "active",
        "weight": 1,
        "started_ms": STARTED_MS + 1_000 * number,
    }


def listed(ports: Sequence[int], zones: int = ZONES) -> dict[str, Any]:
    """A whole list of servers at these ports, in discovery's form."""
    servers = [entry(number, port, zones) for number, port in enumerate(ports)]
    return {"version": 1, "full": True, "servers": servers}


class Lists(Discovery):
    """Discovery with one list; a watch is never answered, since nothing changes."""

    def __init__(self, ports: Sequence[int]) -> None:
        super().__init__([])
        body = json.dumps(listed(ports)).encode()
        self._list = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


async def serve(sizes: Sequence[int]) -> None:
    """Stand there until whoever started it closes its standard input."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Server, HOST, 0) for _ in range(max(sizes))]
    ports = [int(each.sockets[0].getsockname()[1]) for each in servers]
    asked: dict[int, int] = {}
    for size in sizes:
        held = await loop.create_server(lambda size=size: Lists(ports[:size]), HOST, 0)  # type: ignore[misc]
        asked[size] = int(held.sockets[0].getsockname()[1])
    print(json.dumps({"servers": ports, "discovery": asked}), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    uvloop.run(serve([int(each) for each in sys.argv[1:]]))
