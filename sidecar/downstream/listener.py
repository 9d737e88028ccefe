"""Accepts clients from a socket that this process has bound, or has inherited and shares with another."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable
from enum import Enum, unique

from sidecar.connection_socket import PEER_CLOSED_EVENTS
from sidecar.socket_binding import NO_RESOURCES_ERRORS

_MAX_QUEUED = 1_024  # connections that are accepted when the listener is closed
_MAX_ACCEPTS_PER_EVENT = 8  # so that connections over the limit are closed before more are accepted
_RETRY_S = 0.1  # delay before accepting again when the process has no descriptor left
_SHORT_RETRY_S = 0.01  # the same when one will be free soon, or the system lacks resources for a moment
# Errors of the connection that would have been accepted, according to accept(2); there may be others.
_CONNECTION_ERRORS = (
    errno.ECONNABORTED,
    errno.EPERM,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
    errno.ECONNRESET,
)


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


@unique
class _AcceptResult(Enum):
    """The result of trying to accept a connection."""

    ACCEPTED = "accepted, or the connection had failed already; there may be more"
    QUEUE_EMPTY = "no connection is queued, or another process accepted it"
    NO_DESCRIPTOR = "this process has no descriptor left"
    NO_RESOURCES = "the system lacks resources for a connection"


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
        if accept_queued:
            self._accept_queued()
        self._socket.close()

    def _accept_queued(self) -> None:
        for _ in range(_MAX_QUEUED):
            result = self._accept_one()
            if result is _AcceptResult.QUEUE_EMPTY:
                return
            if result is _AcceptResult.NO_DESCRIPTOR:
                self._evict_connection()

    def _resume(self) -> None:
        self._retry_timer = None
        if self.is_open:
            self._loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        for _ in range(_MAX_ACCEPTS_PER_EVENT):
            result = self._accept_one()
            if result is _AcceptResult.NO_DESCRIPTOR:
                self._retry_after_eviction()
            elif result is _AcceptResult.NO_RESOURCES:
                self._retry_after(_SHORT_RETRY_S)
            if result is not _AcceptResult.ACCEPTED:
                return

    def _accept_one(self) -> _AcceptResult:
        try:
            connection, _ = self._socket.accept()
        except BlockingIOError:
            return _AcceptResult.QUEUE_EMPTY
        except OSError as error:
            if error.errno == errno.EMFILE:
                return _AcceptResult.NO_DESCRIPTOR
            if error.errno in NO_RESOURCES_ERRORS:
                return _AcceptResult.NO_RESOURCES
            if error.errno not in _CONNECTION_ERRORS:
                raise
            return _AcceptResult.ACCEPTED
        if _is_peer_closed(connection):
            # Guards against congestion collapse: in a burst, many clients give up while their connection is
            # queued, and handling it would cost as much as any other.
            connection.close()
            return _AcceptResult.ACCEPTED
        connection.setblocking(False)  # noqa: FBT003 - has no keyword
        task: asyncio.Task[object] = self._loop.create_task(
            self._loop.connect_accepted_socket(self._create_protocol, connection)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return _AcceptResult.ACCEPTED

    def _retry_after_eviction(self) -> None:
        """Pause accepting, and evict a connection to free its descriptor.

        If the system allows fewer descriptors than the settings assume, the limit on connections is never
        reached, and idle clients would hold the descriptors that new ones need.
        """
        self._retry_after(_SHORT_RETRY_S if self._evict_connection() else _RETRY_S)

    def _retry_after(self, delay_s: float) -> None:
        self._loop.remove_reader(self._socket)
        self._retry_timer = self._loop.call_later(delay_s, self._resume)


def _is_peer_closed(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, PEER_CLOSED_EVENTS)
    return bool(poll.poll(0))
