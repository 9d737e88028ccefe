"""Calls to servers: attempts and probes, and the pool of connections that carries them."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from dataclasses import dataclass

from balancer.events import EndpointEntry, EndpointState, Outcome
from balancer.settings import Limits
from sidecar.clock import Clock
from sidecar.discovery.endpoint_list import EndpointList
from sidecar.downstream.stream import KEPT, STALLED_S
from sidecar.interfaces import ResponseSink
from sidecar.upstream.client import Address, ClientConnection, Failure, Message, Response

_IDLE_MARGIN = 0.1  # of the idle limit: a connection this near to it may be closed at the far end by now
# What says that this machine, not the server, had no room for a connection.
_OWN_FAULTS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)

Done = Callable[[Outcome, Response | None], None]
# An answer begins that passes through: where from, its head and first bytes, and its length if that is known.
Begun = Callable[[ClientConnection, Response, int | None], ResponseSink | None]


class Call:
    """One request to one server.  `done` is called exactly once, never from within `start` or `cancel`."""

    __slots__ = (
        "begin_by",
        "begun",
        "connection",
        "done",
        "ended",
        "is_wanted",
        "message",
        "moved",
        "sent_at",
        "server",
        "stalled_at",
        "timer",
        "until",
    )

    def __init__(
        self,
        server: str,
        until: int,
        message: Callable[[int], Message],
        done: Done,
        begun: Begun | None = None,
        begin_by: int | None = None,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        self.begun = begun
        self.begin_by = until if begin_by is None else begin_by  # its first byte leaves before that, or never
        self.is_wanted = is_wanted  # whether somebody still waits for it
        self.moved = -1  # of its body when that was last looked at
        self.sent_at = 0  # by the clock, for whoever asked for it
        self.stalled_at = 0  # and since when nothing more moved
        self.server = server
        self.until = until
        self.message = message  # given the time left, in microseconds
        self.done = done
        self.ended = False
        self.connection: ClientConnection | None = None  # once it is written
        self.timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class _Idle:
    connection: ClientConnection
    since: int


class _Server:
    """Where a server is reached, and the connections to the process that is there now."""

    __slots__ = ("address", "group", "idle", "is_excluded", "is_leaving", "started_at")

    def __init__(self, address: Address, listed: EndpointEntry, is_excluded: bool) -> None:
        self.address = address
        self.started_at = listed.started_at
        self.group = listed.zone, listed.cell
        self.is_leaving = False  # by the list
        self.is_excluded = is_excluded  # by the operators
        self.idle: list[_Idle] = []  # the most recently used last

    def is_same(self, address: Address, listed: EndpointEntry) -> bool:
        """Whether a line of the list speaks of this process, still where it was."""
        is_there = address == self.address and (listed.zone, listed.cell) == self.group
        return is_there and listed.started_at == self.started_at


class Upstream:
    """All connections to servers, `most` at once."""

    def __init__(
        self,
        clock: Clock,
        limits: Limits,
        most: int,
        on_written: Callable[[], None],
        before_writing: Callable[[], None] | None = None,
    ) -> None:
        self._clock = clock
        self._before_writing = before_writing  # hears what could forbid it
        self._on_written = on_written  # a request's last byte left for a server
        self._dial_within_s = limits.connect_timeout_us / 1e6
        self._use_within_us = int(limits.idle_timeout_us * (1.0 - _IDLE_MARGIN))
        self._most = most
        self._servers: dict[str, _Server] = {}
        self._excluded: set[str] = set()  # also of servers that are not listed now
        self._owners: dict[ClientConnection, _Server] = {}  # of every open connection
        self._dialling = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep: asyncio.TimerHandle | None = None

    # The list

    def listed(self, listing: EndpointList) -> None:
        """Take over a list or its changes, before any action that follows from it."""
        if listing.is_complete:
            for name in self._servers.keys() - {each.entry.server for each in listing.endpoints}:
                self._drop(name)
        for endpoint in listing.endpoints:
            name, address = endpoint.entry.server, endpoint.address
            if address is None:
                self._drop(name)
                continue
            server, listed = self._servers.get(name), endpoint.entry
            # Guards against writing to what was there before under the same id, or to a server that is no
            # longer in the zone or cell by which a repeat was drawn.
            if server is None or not server.is_same(address, listed):
                self._drop(name)
                server = self._servers[name] = _Server(address, listed, name in self._excluded)
            server.is_leaving = endpoint.entry.state is not EndpointState.READY
            if server.is_leaving:
                self._close_idle(server)

    @property
    def excluded(self) -> frozenset[str]:
        return frozenset(self._excluded)

    def exclude(self, name: str) -> None:
        """Write no further request there, before any action that follows from it."""
        self._excluded.add(name)
        server = self._servers.get(name)
        if server is not None:
            server.is_excluded = True
            self._close_idle(server)

    def include(self, name: str) -> None:
        self._excluded.discard(name)
        server = self._servers.get(name)
        if server is not None:
            server.is_excluded = False

    def _drop(self, name: str) -> None:
        server = self._servers.pop(name, None)
        if server is not None:
            server.is_leaving = True  # for dials under way
            self._close_idle(server)

    # Calls

    def start(self, call: Call, *, is_late: bool = False) -> None:
        """Begin a call; `is_late`: its request was not read in this turn of the event loop."""
        loop = asyncio.get_running_loop()
        server = self._servers.get(call.server)
        if server is None or not self._may_begin(call, server, is_late=is_late):
            loop.call_soon(self._end, call, Outcome.NOT_SENT)
            return
        self._set_expiry(call)
        connection = self._take(server)
        if connection is not None:
            self._write(call, connection)
        elif self._has_room():
            self._dialling += 1
            task = loop.create_task(self._dial(call, server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            loop.call_soon(self._end, call, Outcome.NOT_SENT)

    def _may_begin(self, call: Call, server: _Server, *, is_late: bool) -> bool:
        """Whether the first byte of a call may be written now: the one guard before all writing.

        What was decided before a dial may be over after it: the class's window for repeats, the deadline, the
        server's time (rule 3), the request itself, or the client's patience.  That last is asked of the
        socket where the write is late, as after a dial and in every further attempt: a busy event loop may
        hear an answer, or a timer, before an older end.  In the turn that read the request it was just asked.
        """
        if self._before_writing is not None:
            self._before_writing()
        now = self._clock.now()
        if call.ended or now >= call.begin_by or now >= call.until:
            return False
        if server.is_leaving or server.is_excluded:
            return False
        return not is_late or call.is_wanted()

    def cancel(self, call: Call) -> None:
        """Stop waiting; the outcome follows."""
        if call.ended:
            return
        call.ended = True  # from here on nothing is written for it, also when a dial comes up
        if call.timer is not None:
            call.timer.cancel()
        outcome = Outcome.NOT_SENT
        if call.connection is not None:
            call.connection.close()
            outcome = Outcome.CANCELLED
        asyncio.get_running_loop().call_soon(call.done, outcome, None)

    def withdraw(self, call: Call) -> None:
        """Nobody waits for it any more: it is not begun.  What was written is left to run."""
        if call.connection is None:
            self.cancel(call)

    def hurry(self, call: Call, until: int) -> None:
        """Wait no longer than until then."""
        is_answered = call.connection is not None and call.connection.is_passing_on
        if not call.ended and not is_answered and until < call.until:
            call.until = until
            self._set_expiry(call)

    def _set_expiry(self, call: Call) -> None:
        if call.timer is not None:
            call.timer.cancel()
        due = call.until if call.connection is not None else min(call.until, call.begin_by)
        left_s = max(due - self._clock.now(), 0) / 1e6
        call.timer = asyncio.get_running_loop().call_later(left_s, self._expire, call)

    def close_idle(self, name: str) -> None:
        server = self._servers.get(name)
        if server is not None:
            self._close_idle(server)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in list(self._owners):
            connection.close()

    def _expire(self, call: Call) -> None:
        if call.connection is None:
            # Still dialling: not a byte was written, so it never ran.  Where the call's own limit ended it,
            # the server is not to blame.  Not told by the clock: a timer may fire a moment early.
            is_own_limit = call.begin_by < call.until
            self._end(call, Outcome.NOT_SENT if is_own_limit else Outcome.CONNECT_FAILED)
        else:
            call.connection.close()
            self._end(call, Outcome.TIMED_OUT)

    def _end(self, call: Call, outcome: Outcome, response: Response | None = None) -> None:
        if call.ended:
            return
        call.ended = True
        if call.timer is not None:
            call.timer.cancel()
        call.done(outcome, response)

    def _write(self, call: Call, connection: ClientConnection) -> None:
        def ended(how: Response | Failure) -> None:
            self._end(call, _outcome(how), how if isinstance(how, Response) else None)

        def started(source: ClientConnection, head: Response, length: int | None) -> ResponseSink | None:
            sink = call.begun(source, head, length) if call.begun is not None else None
            if sink is not None:
                self._watch(call)
            return sink

        call.connection = connection
        if call.begin_by < call.until:
            self._set_expiry(call)
        message = call.message(max(call.until - self._clock.now(), 1_000))
        connection.exchange(message, ended, self._on_written, started if call.begun is not None else None)
        if message.upload is not None and not message.upload.is_whole:
            self._watch(call)

    def _watch(self, call: Call) -> None:
        """A body passes through: what counts from now on is that it goes on, not how long it takes."""
        if call.timer is not None:
            call.timer.cancel()
        call.moved = -1
        self._look(call)

    def _look(self, call: Call) -> None:
        """Give the call up when its server has taken or given nothing for long."""
        if call.ended or call.connection is None:
            return
        now, moved = self._clock.now(), call.connection.moved
        if moved != call.moved or not call.connection.is_waiting_for_server:
            call.moved, call.stalled_at = moved, now
        if now - call.stalled_at >= STALLED_S * 1e6:
            call.connection.give_up()
            return
        call.timer = asyncio.get_running_loop().call_later(STALLED_S / 10, self._look, call)

    # Connections

    async def _dial(self, call: Call, server: _Server) -> None:
        outcome = Outcome.CONNECT_FAILED
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(self._dial_within_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(KEPT, self._freed, self._closed), *server.address
                )
        except (OSError, TimeoutError) as fault:
            if isinstance(fault, OSError) and fault.errno in _OWN_FAULTS:
                outcome = Outcome.NOT_SENT
        finally:
            self._dialling -= 1
        if connection is None:
            self._end(call, outcome)
            return
        self._owners[connection] = server
        if not connection.is_usable():
            connection.close()
            self._end(call, Outcome.CONNECT_FAILED)
        elif self._may_begin(call, server, is_late=True):
            self._write(call, connection)
        else:
            self._freed(connection)  # good as it is, unless its server is leaving
            self._end(call, Outcome.NOT_SENT)

    def resize(self, most: int) -> None:
        """Have so many connections from now on; what is idle makes room, the longest first."""
        self._most = most
        while len(self._owners) + self._dialling > most and self._close_oldest():
            pass

    def _has_room(self) -> bool:
        """Whether one more connection may be opened, at the price of the one that is idle for longest."""
        return len(self._owners) + self._dialling < self._most or self._close_oldest()

    def _close_oldest(self) -> bool:
        oldest = min(
            (server for server in self._servers.values() if server.idle),
            key=lambda server: server.idle[0].since,
            default=None,
        )
        if oldest is None:
            return False
        oldest.idle.pop(0).connection.close()
        return True

    def _take(self, server: _Server) -> ClientConnection | None:
        """The most recently used idle connection that is good, if there is one."""
        while server.idle:
            idle = server.idle.pop()
            if self._clock.now() - idle.since < self._use_within_us and idle.connection.is_usable():
                return idle.connection
            idle.connection.close()
        return None

    def _freed(self, connection: ClientConnection) -> None:
        server = self._owners.get(connection)
        if server is None or server.is_leaving or server.is_excluded:
            connection.close()
            return
        server.idle.append(_Idle(connection, self._clock.now()))
        if self._sweep is None:
            self._sweep = asyncio.get_running_loop().call_later(self._use_within_us / 4e6, self._close_old)

    def _close_old(self) -> None:
        """Close what has been idle for nearly as long as servers allow."""
        self._sweep = None
        before = self._clock.now() - self._use_within_us
        for server in self._servers.values():
            while server.idle and server.idle[0].since <= before:
                server.idle.pop(0).connection.close()
        if any(server.idle for server in self._servers.values()):
            self._sweep = asyncio.get_running_loop().call_later(self._use_within_us / 4e6, self._close_old)

    def _closed(self, connection: ClientConnection) -> None:
        server = self._owners.pop(connection, None)
        if server is not None:
            server.idle = [each for each in server.idle if each.connection is not connection]

    def _close_idle(self, server: _Server) -> None:
        idle, server.idle = server.idle, []
        for each in idle:
            each.connection.close()


def _outcome(how: Response | Failure) -> Outcome:
    if how is Failure.UNWRITTEN:
        return Outcome.CONNECT_FAILED
    if how is Failure.BROKEN:
        return Outcome.CONNECTION_LOST
    if isinstance(how, Response):
        if how.status == 200:
            return Outcome.DELIVERED
        if how.status in (503, 504) and how.header(b"not-started") == b"1":
            return Outcome.FULL
    return Outcome.ERROR


def load_report(
    response: Response | None, columns: tuple[str, ...], *, in_body: bool = False
) -> dict[str, float] | None:
    """The load report of an answer, as far as the settings name its figures; nonsense counts as none."""
    if response is None:
        return None
    text = response.header(b"server-load") or (response.body if in_body else None)
    if not text:
        return None
    report: dict[str, float] = {}
    for pair in text.decode("latin-1").removeprefix("TEXT ").split(","):
        name, _, figure = pair.partition("=")
        if name.strip() in columns:
            try:
                value = float(figure)
            except ValueError:
                continue
            if value - value == 0.0:  # finite
                report[name.strip()] = value
    return report or None
