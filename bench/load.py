"""Open-loop load from a process of its own: `python -m bench.load PORT RATE SECONDS BODY SEED`.

Arrivals are drawn ahead and wait for no answer; a latency is counted from when its request was due.  It
prints one JSON line: requests, how many ended badly, latencies in milliseconds at some percentiles, and by
how much the tool itself was late.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import deque
from typing import cast

import uvloop

from bench.process import HOST

CONNECTIONS = 64
PATIENCE_S = 1.0


class Connection(asyncio.Protocol):
    """One connection; `due` is when the request that is out should have left, by the monotonic clock."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self.transport: asyncio.Transport | None = None
        self.due: float | None = None
        self._answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The event loop's own class is none of asyncio's, so there is nothing to check.
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, due: float, request: bytes) -> None:
        assert self.transport is not None
        self.due = due
        self._answer = b""
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        self._answer += data
        end = self._answer.find(b"\r\n\r\n")
        if end < 0 or self.due is None:
            return
        length = int(self._answer.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        if len(self._answer) >= end + 4 + length:
            due, self.due = self.due, None
            self._load.answered(self, time.monotonic() - due, self._answer.startswith(b"HTTP/1.1 200"))

    def connection_lost(self, _exc: Exception | None) -> None:
        self._load.lost(self)


class Load:
    """All of one run."""

    def __init__(self, port: int, rate: float, seconds: float, body: int, seed: int) -> None:
        self._port = port
        self._free: list[Connection] = []
        self._all: set[Connection] = set()
        self._waiting: deque[tuple[float, int]] = deque()
        draw = random.Random(seed)
        at, self._arrivals = 0.0, []
        while (at := at + draw.expovariate(rate)) < seconds:
            self._arrivals.append(at)
        self._body = bytes(body)
        self._latencies: list[float] = []
        self._failed = 0
        self._late = 0.0

    def _request(self, number: int) -> bytes:
        kind, method = (b"post", b"POST") if self._body else (b"get", b"GET")
        length = b"Content-Length: %d\r\n" % len(self._body) if self._body else b""
        return (
            b"%b /api/%x HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %016x\r\nRequest-Class: %b\r\n"
            b"Tenant: t\r\nRequest-Timeout: 1.000\r\nWork-Hint: 5000\r\n%b\r\n%b"
            % (method, number, number, kind, length, self._body)
        )

    def answered(self, connection: Connection, took: float, is_good: bool) -> None:
        self._latencies.append(took)
        self._failed += not is_good
        if self._waiting:
            connection.ask(*self._next())
        else:
            self._free.append(connection)

    def lost(self, connection: Connection) -> None:
        self._all.discard(connection)
        if connection in self._free:
            self._free.remove(connection)
        if connection.due is not None:
            self._failed += 1

    def _next(self) -> tuple[float, bytes]:
        due, number = self._waiting.popleft()
        return due, self._request(number)

    async def run(self) -> dict[str, float]:
        loop = asyncio.get_running_loop()
        for _ in range(CONNECTIONS):
            _, made = await loop.create_connection(lambda: Connection(self), HOST, self._port)
            self._free.append(made)
            self._all.add(made)
        began = time.monotonic() + 0.05
        for number, at in enumerate(self._arrivals, 1):
            wait = began + at - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            else:
                self._late = max(self._late, -wait)
            self._waiting.append((began + at, number))
            while self._waiting and self._free:
                self._free.pop().ask(*self._next())
        ends = time.monotonic() + PATIENCE_S
        while len(self._latencies) + self._failed < len(self._arrivals) and time.monotonic() < ends:
            await asyncio.sleep(0.005)
        return self._summary()

    def _summary(self) -> dict[str, float]:
        asked = len(self._arrivals)
        missing = max(asked - len(self._latencies), 0)
        ordered = sorted(self._latencies) + [PATIENCE_S] * missing
        at = {f"p{each}": 1_000 * ordered[int(len(ordered) * each / 100)] for each in (50, 90, 99)}
        return {"asked": asked, "bad": self._failed + missing, "late_ms": 1_000 * self._late, **at}


def main() -> None:
    port, rate, seconds, body, seed = sys.argv[1:]
    load = Load(int(port), float(rate), float(seconds), int(body), int(seed))
    print(json.dumps(uvloop.run(load.run())))


if __name__ == "__main__":
    main()
