"""The switch: every byte between copies and other parties passes through it, by source and destination.

A `Gate` is the address of one party as one copy sees it.  Behind it stands the party itself, in this process:
what comes on a connection is handed to it, and what it answers is handed back, when the link lets it through.
While a link is cut a connection never comes up: the gate stops accepting and fills its own queue, so that the
system drops what knocks, as a cable that is out would.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

from testbed.clock import RunClock
from testbed.links import NEVER, Link

_BACKLOG = 512
_MOST_WAITING = 1 << 20  # bytes on their way in one direction; more are not read
_RESET = struct.pack("ii", 1, 0)  # linger for no time: close by a reset


class Handler(Protocol):
    """A party's end of one connection."""

    def received(self, data: bytes) -> None:
        """Handle bytes from the other side."""
        ...

    def ended(self) -> None:
        """The copy closed it, and the word of that came through."""


class Party(Protocol):
    """Who stands behind gates."""

    def connected(self, copy: int, passage: Passage) -> Handler:
        """Create the handler of a new connection from a replica."""
        ...


class _Pipe:
    """One direction of a connection: bytes in order, each when the link lets it through."""

    def __init__(self, clock: RunClock, link: Link, deliver: Callable[[bytes | None], None]) -> None:
        self._clock, self._link, self._deliver = clock, link, deliver
        self._waiting: deque[tuple[int, bytes | None, Callable[[], None] | None]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._last = 0
        self.size = 0

    def push(self, data: bytes | None, delivered: Callable[[], None] | None = None) -> None:
        """Send bytes, or (None) the end."""
        now = self._clock.now()
        at = self._last = max(self._link.arrival(now), self._last)
        if at <= now and not self._waiting:
            self._pass(data, delivered)
            return
        self._waiting.append((at, data, delivered))
        self.size += len(data or b"")
        if self._timer is None and at < NEVER:
            self._arm(at)

    def _arm(self, at: int) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._clock.wait_s(at), self._due)

    def _due(self) -> None:
        self._timer = None
        now = self._clock.now()
        while self._waiting and self._waiting[0][0] <= now:
            _, data, delivered = self._waiting.popleft()
            self.size -= len(data or b"")
            self._pass(data, delivered)
        if self._waiting and self._waiting[0][0] < NEVER:
            self._arm(self._waiting[0][0])

    def _pass(self, data: bytes | None, delivered: Callable[[], None] | None) -> None:
        self._deliver(data)
        if delivered is not None:
            delivered()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._waiting.clear()


class Passage(asyncio.Protocol):
    """One connection through the switch."""

    def __init__(self, gate: Gate) -> None:
        self._gate = gate
        self._transport: asyncio.Transport | None = None
        self._in = _Pipe(gate.clock, gate.inwards, self._comes_in)
        self._out = _Pipe(gate.clock, gate.outwards, self._goes_out)
        self._handler: Handler | None = None
        self._is_over = False

    # From the copy

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the gate and create the handler, as asyncio calls it."""
        # The event loop's own class is none of asyncio's, so there is nothing to check.
        self._transport = cast(asyncio.Transport, transport)
        self._gate.passages.add(self)
        self._handler = self._gate.party.connected(self._gate.copy, self)

    def data_received(self, data: bytes) -> None:
        """Queue the bytes; pause reading while too many wait."""
        self._in.push(data)
        if self._in.size > _MOST_WAITING and self._transport is not None:
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Unregister from the gate and end both directions."""
        self._gate.passages.discard(self)
        self._out.close()
        self._in.push(None)

    def _comes_in(self, data: bytes | None) -> None:
        if self._handler is None:
            return
        if data is None:
            handler, self._handler = self._handler, None
            handler.ended()
            return
        self._handler.received(data)
        if self._transport is not None and self._in.size <= _MOST_WAITING:
            self._transport.resume_reading()

    # From the party

    def send(self, data: bytes, delivered: Callable[[], None] | None = None) -> None:
        """Send to the copy; `delivered` is called when it was passed on."""
        if self._gate.outwards.resets_response(self._gate.clock.now(), self._gate.chance()):
            self._out.push(data[: len(data) // 2])
            self._out.push(None)
            return
        self._out.push(data, delivered)

    def _goes_out(self, data: bytes | None) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if data is None:
            self.reset()
        else:
            self._transport.write(data)

    def reset(self) -> None:
        """End it at once, as a process that dies does."""
        if self._transport is not None and not self._is_over:
            self._is_over = True
            own = self._transport.get_extra_info("socket")
            if own is not None and not self._transport.is_closing():
                own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._transport.abort()

    def die(self) -> None:
        """The party's process is gone; the copy learns it when the link lets that through."""
        if self._handler is not None:
            handler, self._handler = self._handler, None
            handler.ended()
        self._out.push(None)

    def drop(self) -> None:
        """Let go of everything, whatever waits."""
        self._handler = None
        self.reset()
        self._in.close()
        self._out.close()


class Gate:
    """The address of one party as one copy sees it."""

    def __init__(
        self, clock: RunClock, copy: int, party: Party, inwards: Link, outwards: Link, rng: random.Random
    ) -> None:
        self.clock, self.copy, self.party = clock, copy, party
        self.inwards, self.outwards = inwards, outwards
        self.chance = rng.random
        self.passages: set[Passage] = set()
        self._socket: socket.socket | None = None
        self._address: tuple[str, int] = ("", 0)
        self._fillers: list[socket.socket] = []
        self._filled: set[tuple[str, int]] = set()  # where our own connections come from
        self._is_up = True
        self._is_accepting = False
        self._tasks: set[asyncio.Task[None]] = set()

    def bind(self, host: str) -> str:
        """Take an address of this host with a port that the system chooses; give it as text."""
        self._listen((host, 0))
        return f"{self._address[0]}:{self._address[1]}"

    def _listen(self, address: tuple[str, int]) -> None:
        own = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        own.setblocking(False)  # noqa: FBT003 - its only form
        own.bind(address)
        own.listen(_BACKLOG)
        self._socket, self._address = own, own.getsockname()

    def start(self) -> None:
        """Accept from now on."""
        self.follow()

    def plan(self) -> None:
        """The day begins: plan every opening and closing of its links."""
        loop = asyncio.get_running_loop()
        for link in (self.inwards, self.outwards):
            for since, until in link.cut_intervals():
                for at in (since, until):
                    if at < NEVER:
                        loop.call_later(self.clock.wait_s(at) + 0.0005, self.follow)

    def down(self) -> None:
        """The party's process ends: connections are reset and new ones refused."""
        self._is_up = False
        self.follow()
        for passage in list(self.passages):
            passage.die()

    def up(self) -> None:
        """The party's process is there again."""
        self._is_up = True
        self.follow()

    def follow(self) -> None:
        """Be what the party's process and the links are now."""
        now = self.clock.now()
        is_cut = self.inwards.is_cut(now) or self.outwards.is_cut(now)
        if self._socket is None and (is_cut or self._is_up):
            self._listen(self._address)
        if is_cut:
            self._stop_accepting()
            self._fill()
        elif self._is_up:
            self._empty()
            self._start_accepting()
        else:
            self._stop_accepting()
            self._empty()
            if self._socket is not None:
                self._socket.close()
                self._socket = None

    def _start_accepting(self) -> None:
        assert self._socket is not None
        if not self._is_accepting:
            self._socket.listen(_BACKLOG)
            asyncio.get_running_loop().add_reader(self._socket.fileno(), self._accept)
            self._is_accepting = True

    def _stop_accepting(self) -> None:
        if self._is_accepting and self._socket is not None:
            self._is_accepting = False
            asyncio.get_running_loop().remove_reader(self._socket.fileno())

    def _fill(self) -> None:
        """Leave no place in the queue, so that the system drops what knocks."""
        assert self._socket is not None
        if self._fillers:
            return
        self._socket.listen(0)
        filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        filler.setblocking(False)  # noqa: FBT003 - its only form
        filler.connect_ex(self._address)
        self._fillers.append(filler)
        self._filled.add(filler.getsockname())

    def _empty(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _accept(self) -> None:
        assert self._socket is not None
        for _ in range(_BACKLOG):
            try:
                accepted, source = self._socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            if source in self._filled:
                self._filled.discard(source)
                accepted.close()
                continue
            accepted.setblocking(False)  # noqa: FBT003 - its only form
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.get_running_loop().create_task(self._take(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _take(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: Passage(self), accepted)
        except OSError:
            accepted.close()

    def close(self) -> None:
        """Stop listening, drop all connections and cancel the tasks."""
        self._stop_accepting()
        self._empty()
        for passage in list(self.passages):
            passage.drop()
        for task in self._tasks:
            task.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
