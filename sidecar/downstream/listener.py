"""The listening socket for clients: bound by this process, or inherited and shared between processes."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable

from sidecar.connection_socket import PEER_CLOSED_EVENTS
from sidecar.socket_binding import NO_RESOURCES_ERRORS

_BACKLOG = 1_024  # connections that are accepted when the listener is closed
_MAX_ACCEPTS_PER_EVENT = 8  # so that connections over the limit are closed before more are accepted
_RETRY_S = 0.1  # delay before accepting again when the machine ran out of descriptors or memory
_RETRY_AFTER_CLOSE_S = 0.01  # the same after an eviction, which frees a descriptor soon


def listener_from_descriptor(descriptor: int) -> socket.socket:
    """Return the listening socket behind an inherited descriptor; raise ValueError if there is none."""
    try:
        listening = socket.socket(fileno=descriptor)
    except (OSError, OverflowError, ValueError) as error:
        raise ValueError(f"descriptor {descriptor} is not a socket: {error}") from None
    is_tcp = listening.family in (socket.AF_INET, socket.AF_INET6) and listening.type == socket.SOCK_STREAM
    if not is_tcp or not listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listening.detach()  # it belongs to another owner and stays open
        raise ValueError(f"descriptor {descriptor} is not a listening TCP socket")
    return listening


class Listener:
    """Accepts connections, a few at a time, until it is closed.

    Another process may accept from the same socket.  So the socket is closed but never shut down, and its
    listen queue is left alone.
    """

    def __init__(
        self,
        listening: socket.socket,
        create_protocol: Callable[[], asyncio.BaseProtocol],
        evict_connection: Callable[[], bool] = lambda: False,
    ) -> None:
        """`evict_connection` closes a connection to free its descriptor; returns whether there was one."""
        self._socket = listening
        self._create_protocol = create_protocol
        self._evict_connection = evict_connection
        self._tasks: set[asyncio.Task[object]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None
        listening.setblocking(False)  # noqa: FBT003 - has no keyword
        self._loop = asyncio.get_running_loop()
        self._resume()

    @property
    def port(self) -> int:
        """The port that the socket is bound to."""
        return int(self._socket.getsockname()[1])

    @property
    def is_open(self) -> bool:
        """Whether the listener has not been closed."""
        return self._socket.fileno() >= 0

    @property
    def being_accepted(self) -> int:
        """The number of connections that were accepted and have no protocol yet."""
        return len(self._tasks)

    def close(self, *, accept_queued: bool = False) -> None:
        """Stop accepting; connections that were accepted stay open.

        When a listening socket is closed, the system resets the connections in its listen queue, and requests
        that their clients have sent are lost.  `accept_queued` accepts these connections first.
        """
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if not self.is_open:
            return
        self._loop.remove_reader(self._socket)
        for _ in range(_BACKLOG if accept_queued else 0):
            if not self._accept_one():
                break
        self._socket.close()

    def _resume(self) -> None:
        self._retry_timer = None
        if self.is_open:
            self._loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        for _ in range(_MAX_ACCEPTS_PER_EVENT):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept a connection; return whether there may be more."""
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False  # the queue is empty, or another process accepted the connection
        except OSError as error:
            if error.errno not in NO_RESOURCES_ERRORS:
                raise
            self._retry_later()
            return False
        if _is_peer_closed(connection):
            # Guards against congestion collapse: in a burst, many clients give up while their connection is
            # queued, and handling it would cost as much as any other.
            connection.close()
            return True
        connection.setblocking(False)  # noqa: FBT003 - has no keyword
        task: asyncio.Task[object] = self._loop.create_task(
            self._loop.connect_accepted_socket(self._create_protocol, connection)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def _retry_later(self) -> None:
        """Pause accepting, and evict a connection to free its descriptor.

        If the system allows fewer descriptors than the settings assume, the limit on connections is never
        reached, and idle clients would hold the descriptors that new ones need.
        """
        self._loop.remove_reader(self._socket)
        delay_s = _RETRY_AFTER_CLOSE_S if self._evict_connection() else _RETRY_S
        self._retry_timer = self._loop.call_later(delay_s, self._resume)


def _is_peer_closed(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, PEER_CLOSED_EVENTS)
    return bool(poll.poll(0))
