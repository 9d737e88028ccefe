"""An open-loop load that is hardly ever late: it spins on a core between arrivals, and says how late it was.

The event loop's timers go by whole milliseconds, more than what is measured here; so this one has none.
Arrivals are drawn ahead and wait for no answer; a latency is counted from when its request was due.
"""

from __future__ import annotations

import gc
import random
import select
import socket
import time
from collections import deque
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

Address = tuple[str, int]

PATIENCE_S = 1.0  # after the last arrival, for the answers that are still out
_HEAD_ENDS = b"\r\n\r\n"


@dataclass
class Played:
    """One run: what was asked, and when each was answered, in microseconds."""

    asked: int = 0
    bad: int = 0  # another status than 200, no answer, or a broken connection
    crowded: int = 0  # that found no free connection when they were due
    latencies_us: list[float] = field(default_factory=list)  # of whole answers, from when they were due
    late_us: list[float] = field(default_factory=list)  # by how much the tool itself sent each too late

    def joined(self, other: Played) -> Played:
        return Played(
            self.asked + other.asked,
            self.bad + other.bad,
            self.crowded + other.crowded,
            self.latencies_us + other.latencies_us,
            self.late_us + other.late_us,
        )


def quantile(values: Sequence[float], part: float) -> float:
    """The least value that is no less than this part of all; raise ValueError where there is none."""
    if not values:
        raise ValueError("a quantile of nothing")
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]


def arrivals(rate: float, seconds: float, seed: int) -> list[float]:
    """Seconds from the beginning at which requests are due: by chance, at this rate."""
    draw, at, out = random.Random(seed), 0.0, []
    while (at := at + draw.expovariate(rate)) < seconds:
        out.append(at)
    return out


def answer_length(head: bytes) -> int:
    """The length of the body that a head announces; raise ValueError where it names none."""
    return int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])


class _Connection:
    """One connection, with one request at a time."""

    __slots__ = ("due", "heard", "socket")

    def __init__(self, address: Address) -> None:
        self.socket = socket.create_connection(address, timeout=PATIENCE_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self.heard = b""
        self.due = 0.0

    def is_whole(self) -> bool:
        """Whether the answer has come to its end."""
        end = self.heard.find(_HEAD_ENDS)
        return end >= 0 and len(self.heard) >= end + len(_HEAD_ENDS) + answer_length(self.heard[:end])


class OpenLoop:
    """All connections to one address, kept from run to run."""

    def __init__(self, address: Address, connections: int = 16) -> None:
        self._address, self._connections = address, connections
        self._poll = select.epoll()
        self._all: dict[int, _Connection] = {}
        self._free: list[_Connection] = []  # the most recently used last: so few are in use at rest
        self._number = 0
        self._refill()

    def _refill(self) -> None:
        """Have all connections again: the far end closes what is idle for long."""
        for descriptor, _ in self._poll.poll(0):
            self._hear(self._all[descriptor], Played())
        while len(self._all) < self._connections:
            made = _Connection(self._address)
            self._all[made.socket.fileno()] = made
            self._free.insert(0, made)
            self._poll.register(made.socket, select.EPOLLIN)

    def close(self) -> None:
        self._poll.close()
        for each in self._all.values():
            each.socket.close()

    def play(self, rate: float, seconds: float, seed: int) -> Played:
        """Ask at this rate for so long; answers may take `PATIENCE_S` longer."""
        self._refill()
        played = Played()
        due = deque(arrivals(rate, seconds, seed))
        waiting: deque[float] = deque()  # due, and no connection is free
        out = 0
        with _no_collections():
            began = time.perf_counter() + 0.01
            ends = began + seconds + PATIENCE_S
            while (due or waiting or out) and time.perf_counter() < ends:
                while due and began + due[0] <= time.perf_counter():
                    at = began + due.popleft()
                    played.asked += 1
                    if self._free:
                        played.late_us.append(self._send(self._free.pop(), at))
                        out += 1
                    else:
                        played.crowded += 1
                        waiting.append(at)
                for descriptor, _ in self._poll.poll(0):
                    connection = self._all.get(descriptor)
                    if connection is not None and self._hear(connection, played):
                        out -= 1
                        if waiting and self._free:
                            self._send(self._free.pop(), waiting.popleft())
                            out += 1
        played.bad += out + len(waiting) + len(due)
        return played

    def _send(self, connection: _Connection, due: float) -> float:
        """Write a request; give by how many microseconds it is late."""
        self._number += 1
        connection.due, connection.heard = due, b""
        request = (
            b"GET /api/%x HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %016x\r\nRequest-Class: get\r\n"
            b"Tenant: t\r\nRequest-Timeout: 1.000\r\nWork-Hint: 5000\r\n\r\n" % (self._number, self._number)
        )
        now = time.perf_counter()
        connection.socket.send(request)
        return (now - due) * 1e6

    def _hear(self, connection: _Connection, played: Played) -> bool:
        """Read what came; whether the request that was out there is over."""
        try:
            data = connection.socket.recv(65_536)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if not data:
            self._drop(connection)
            was_out = connection.due > 0.0
            played.bad += was_out
            return was_out
        connection.heard += data
        if connection.due <= 0.0 or not connection.is_whole():
            return False
        if connection.heard.startswith(b"HTTP/1.1 200"):
            played.latencies_us.append((time.perf_counter() - connection.due) * 1e6)
        else:
            played.bad += 1
        connection.due = 0.0
        self._free.append(connection)
        return True

    def _drop(self, connection: _Connection) -> None:
        descriptor = connection.socket.fileno()
        self._poll.unregister(descriptor)
        del self._all[descriptor]
        if connection in self._free:
            self._free.remove(connection)
        connection.socket.close()


@contextmanager
def _no_collections() -> Iterator[None]:
    """The tool's own collections would be taken for latency."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
