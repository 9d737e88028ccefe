"""The switch: all TCP traffic between replicas and other parties passes through it, over one link per pair.

A `Gate` is the address of one party as one replica sees it.  The party itself runs in the same process:
received bytes are handed to it, and its responses are sent back, at the times that the link determines.

While a link is cut no connection can be established: the gate stops accepting and fills the backlog of its
own listener, so that the kernel drops SYN packets, as with an unplugged cable.
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
_MAX_BUFFERED_BYTES = 1 << 20  # per direction; above it, reading is paused
_LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER with time 0: closing the socket sends a reset


class Handler(Protocol):
    """A party's end of one connection."""

    def received(self, data: bytes) -> None:
        """Handle bytes from the other side."""
        ...

    def closed(self) -> None:
        """Handle the end of the connection, once the link has delivered it."""


class Party(Protocol):
    """A party that replicas connect to through gates."""

    def connected(self, replica: int, connection: SwitchConnection) -> Handler:
        """Create the handler of a new connection from a replica."""
        ...


class _Pipe:
    """One direction of a connection: delivers bytes in order at the times that the link determines."""

    def __init__(self, clock: RunClock, link: Link, deliver: Callable[[bytes | None], None]) -> None:
        self._clock, self._link, self._deliver = clock, link, deliver
        self._queue: deque[tuple[int, bytes | None, Callable[[], None] | None]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._last_arrival_us = 0
        self.buffered_bytes = 0

    def push(self, data: bytes | None, delivered: Callable[[], None] | None = None) -> None:
        """Queue bytes, or None for the end of the connection; `delivered` is called on delivery."""
        now_us = self._clock.now()
        at_us = self._last_arrival_us = max(self._link.arrival(now_us), self._last_arrival_us)
        if at_us <= now_us and not self._queue:
            self._deliver_now(data, delivered)
            return
        self._queue.append((at_us, data, delivered))
        self.buffered_bytes += len(data or b"")
        if self._timer is None and at_us < NEVER:
            self._start_timer(at_us)

    def _start_timer(self, at_us: int) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._clock.wait_s(at_us), self._deliver_due)

    def _deliver_due(self) -> None:
        self._timer = None
        now_us = self._clock.now()
        while self._queue and self._queue[0][0] <= now_us:
            _, data, delivered = self._queue.popleft()
            self.buffered_bytes -= len(data or b"")
            self._deliver_now(data, delivered)
        if self._queue and self._queue[0][0] < NEVER:
            self._start_timer(self._queue[0][0])

    def _deliver_now(self, data: bytes | None, delivered: Callable[[], None] | None) -> None:
        self._deliver(data)
        if delivered is not None:
            delivered()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._queue.clear()


class SwitchConnection(asyncio.Protocol):
    """One connection through the switch."""

    def __init__(self, gate: Gate) -> None:
        self._gate = gate
        self._transport: asyncio.Transport | None = None
        self._inbound = _Pipe(gate.clock, gate.inwards, self._deliver_to_party)
        self._outbound = _Pipe(gate.clock, gate.outwards, self._deliver_to_replica)
        self._handler: Handler | None = None
        self._is_reset = False

    # From the replica: called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the gate and create the handler."""
        # uvloop's transports are not subclasses of asyncio.Transport, so no isinstance check is possible.
        self._transport = cast(asyncio.Transport, transport)
        self._gate.connections.add(self)
        self._handler = self._gate.party.connected(self._gate.replica, self)

    def data_received(self, data: bytes) -> None:
        """Queue the bytes; pause reading while too many wait."""
        self._inbound.push(data)
        if self._inbound.buffered_bytes > _MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Unregister from the gate and end both directions."""
        self._gate.connections.discard(self)
        self._outbound.close()
        self._inbound.push(None)

    def _deliver_to_party(self, data: bytes | None) -> None:
        if self._handler is None:
            return
        if data is None:
            handler, self._handler = self._handler, None
            handler.closed()
            return
        self._handler.received(data)
        if self._transport is not None and self._inbound.buffered_bytes <= _MAX_BUFFERED_BYTES:
            self._transport.resume_reading()

    # From the party

    def send(self, data: bytes, delivered: Callable[[], None] | None = None) -> None:
        """Send to the replica; `delivered` is called once the link has delivered the bytes."""
        if self._gate.outwards.resets_response(self._gate.clock.now(), self._gate.random_fraction()):
            self._outbound.push(data[: len(data) // 2])
            self._outbound.push(None)
            return
        self._outbound.push(data, delivered)

    def _deliver_to_replica(self, data: bytes | None) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if data is None:
            self.reset()
        else:
            self._transport.write(data)

    def reset(self) -> None:
        """Close the connection at once with a reset, as the exit of a process does."""
        if self._transport is not None and not self._is_reset:
            self._is_reset = True
            sock = self._transport.get_extra_info("socket")
            if sock is not None and not self._transport.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            self._transport.abort()

    def close_after_process_exit(self) -> None:
        """End the connection because the party's process exited; the reset travels over the link."""
        if self._handler is not None:
            handler, self._handler = self._handler, None
            handler.closed()
        self._outbound.push(None)

    def discard(self) -> None:
        """Reset the connection and discard everything that is queued."""
        self._handler = None
        self.reset()
        self._inbound.close()
        self._outbound.close()


class Gate:
    """The address of one party as one replica sees it."""

    def __init__(
        self, clock: RunClock, replica: int, party: Party, inwards: Link, outwards: Link, rng: random.Random
    ) -> None:
        self.clock, self.replica, self.party = clock, replica, party
        self.inwards, self.outwards = inwards, outwards
        self.random_fraction = rng.random
        self.connections: set[SwitchConnection] = set()
        self._socket: socket.socket | None = None
        self._address: tuple[str, int] = ("", 0)
        self._fillers: list[socket.socket] = []
        self._filler_addresses: set[tuple[str, int]] = set()  # source addresses of the fillers
        self._is_up = True
        self._is_accepting = False
        self._tasks: set[asyncio.Task[None]] = set()

    def bind(self, host: str) -> str:
        """Listen at this host on a port that the kernel chooses; return `host:port`."""
        self._listen((host, 0))
        return f"{self._address[0]}:{self._address[1]}"

    def _listen(self, address: tuple[str, int]) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)  # noqa: FBT003 - its only form
        listener.bind(address)
        listener.listen(_BACKLOG)
        self._socket, self._address = listener, listener.getsockname()

    def start(self) -> None:
        """Start accepting connections."""
        self.update_listener()

    def schedule_link_changes(self) -> None:
        """Schedule a listener update at each start and end of a link cut; called when the run starts."""
        loop = asyncio.get_running_loop()
        for link in (self.inwards, self.outwards):
            for cut_start_us, cut_end_us in link.cut_intervals():
                for at_us in (cut_start_us, cut_end_us):
                    if at_us < NEVER:
                        loop.call_later(self.clock.wait_s(at_us) + 0.0005, self.update_listener)

    def down(self) -> None:
        """Simulate the exit of the party's process: reset connections and refuse new ones."""
        self._is_up = False
        self.update_listener()
        for connection in list(self.connections):
            connection.close_after_process_exit()

    def up(self) -> None:
        """Simulate the restart of the party's process: accept connections again."""
        self._is_up = True
        self.update_listener()

    def update_listener(self) -> None:
        """Bring the listener in line with the state of the links and of the party's process.

        Connections are accepted if both are up and refused if the process is down.  While a link is cut,
        connection attempts get no response.
        """
        now_us = self.clock.now()
        is_cut = self.inwards.is_cut(now_us) or self.outwards.is_cut(now_us)
        if self._socket is None and (is_cut or self._is_up):
            self._listen(self._address)
        if is_cut:
            self._stop_accepting()
            self._block_backlog()
        elif self._is_up:
            self._unblock_backlog()
            self._start_accepting()
        else:
            self._stop_accepting()
            self._unblock_backlog()
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

    def _block_backlog(self) -> None:
        """Fill the listener's backlog, so that the kernel drops SYN packets."""
        assert self._socket is not None
        if self._fillers:
            return
        self._socket.listen(0)
        filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        filler.setblocking(False)  # noqa: FBT003 - its only form
        filler.connect_ex(self._address)
        self._fillers.append(filler)
        self._filler_addresses.add(filler.getsockname())

    def _unblock_backlog(self) -> None:
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
            if source in self._filler_addresses:
                self._filler_addresses.discard(source)
                accepted.close()
                continue
            accepted.setblocking(False)  # noqa: FBT003 - its only form
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.get_running_loop().create_task(self._connect_accepted(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect_accepted(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: SwitchConnection(self), accepted)
        except OSError:
            accepted.close()

    def close(self) -> None:
        """Stop listening, discard all connections and cancel the tasks."""
        self._stop_accepting()
        self._unblock_backlog()
        for connection in list(self.connections):
            connection.discard()
        for task in self._tasks:
            task.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
