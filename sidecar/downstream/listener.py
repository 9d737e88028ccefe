"""The clients' listening socket: its own, or one that the platform holds and every process inherits."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable

from sidecar.address import Address
from sidecar.connection_socket import PEER_CLOSED_EVENTS

_BACKLOG = 1_024
_AT_ONCE = 8  # so many connections are accepted before those over the limit are let go
_AGAIN_S = 0.1  # after which accepting is tried again when this machine had no room
_MADE_S = 0.01  # and when a connection was let go for it, whose descriptor is free in the next rounds
_NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def _has_left(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, PEER_CLOSED_EVENTS)
    return bool(poll.poll(0))


def inherited(descriptor: int) -> socket.socket:
    """The listening socket behind a descriptor; raise ValueError if there is none."""
    try:
        found = socket.socket(fileno=descriptor)
    except (OSError, OverflowError, ValueError) as fault:
        raise ValueError(f"descriptor {descriptor} is no socket: {fault}") from None
    is_tcp = found.family in (socket.AF_INET, socket.AF_INET6) and found.type == socket.SOCK_STREAM
    if not is_tcp or not found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        found.detach()  # it is somebody else's
        raise ValueError(f"descriptor {descriptor} is no listening TCP socket")
    return found


def bound(address: Address) -> socket.socket:
    """A listening socket of this process's own; raise OSError if there can be none."""
    own = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        own.bind(address)
        own.listen(_BACKLOG)
    except OSError:
        own.close()
        raise
    return own


class Listener:
    """Accepts connections, a few at a time, until it is closed.

    Another process may accept from the same socket: it is never shut down, and its queue is left as it is.
    """

    def __init__(
        self,
        own: socket.socket,
        made: Callable[[], asyncio.BaseProtocol],
        make_room: Callable[[], bool] = lambda: False,
    ) -> None:
        """`make_room` lets a connection go that can be spared, and says whether there was one."""
        self._socket = own
        self._made = made
        self._make_room = make_room
        self._tasks: set[asyncio.Task[object]] = set()
        self._again: asyncio.TimerHandle | None = None
        own.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self._accept_more()

    @property
    def port(self) -> int:
        return int(self._socket.getsockname()[1])

    @property
    def is_open(self) -> bool:
        return self._socket.fileno() >= 0

    @property
    def being_accepted(self) -> int:
        """Connections that were accepted and have not been handed on yet."""
        return len(self._tasks)

    def close(self, *, accept_the_rest: bool = False) -> None:
        """Stop accepting; what was accepted lives on.

        A connection that still waits in the system's queue is reset by the end of its listening socket, and
        what its client has sent with it; `accept_the_rest` takes those in first.
        """
        if self._again is not None:
            self._again.cancel()
        if not self.is_open:
            return
        self._loop.remove_reader(self._socket)
        for _ in range(_BACKLOG if accept_the_rest else 0):
            if not self._accept_one():
                break
        self._socket.close()

    def _accept_more(self) -> None:
        self._again = None
        if self.is_open:
            self._loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        for _ in range(_AT_ONCE):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept a connection; say whether there may be more."""
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False  # nobody is there, or another process was quicker
        except OSError as fault:
            if fault.errno not in _NO_ROOM:
                raise
            self._loop.remove_reader(self._socket)
            # Guards against idle clients that hold what a new one needs, where the system has less to give
            # than the settings say: their own budget would never end one.
            wait_s = _MADE_S if self._make_room() else _AGAIN_S
            self._again = self._loop.call_later(wait_s, self._accept_more)
            return False
        if _has_left(connection):
            # Guards against collapse: in a rush many give up while they queue, and cost no less.
            connection.close()
            return True
        connection.setblocking(False)
        task: asyncio.Task[object] = self._loop.create_task(
            self._loop.connect_accepted_socket(self._made, connection)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True
