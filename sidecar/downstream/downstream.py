"""Owns all client connections: limits their number, closes overdue and idle ones, and drains them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from itertools import islice, takewhile

from balancer.settings import Settings
from sidecar.downstream.body_streaming import Upload
from sidecar.downstream.client_transport import CLIENT_TIMEOUT_S
from sidecar.downstream.connection import DownstreamConnection
from sidecar.downstream.listener import Listener
from sidecar.downstream.request_parsing import IncomingRequest, parse_request
from sidecar.http import RequestHead
from sidecar.memory_budget import MemoryBudget
from sidecar.memory_limits import MemoryLimits

_FIRST_REQUEST_GRACE_S = 0.25  # an unused connection older than this is evicted before an idle one
_MAX_CANDIDATES = 8  # connections of each table that are considered for eviction
_IDLE_TIMEOUT_S = 60.0
_SWEEP_INTERVAL_S = 0.25
_STREAMING_SWEEP_INTERVAL_S = 0.1  # while bodies are being transferred


class Downstream:
    """The client connections, at most `max_connections` of them, and their listener.

    Each connection is in at most one of three tables, which are ordered by the time of entry, oldest first:
    awaited (its client must act within `CLIENT_TIMEOUT_S`), watched (its client sends or reads a body and
    must make progress) and idle.
    """

    def __init__(
        self,
        settings: Settings,
        max_connections: int,
        memory_limits: MemoryLimits,
        on_arrival: Callable[[DownstreamConnection, IncomingRequest], int | None],
        on_complete: Callable[[int, int], None],
        on_unread_body: Callable[[int, int], None],
        on_disconnect: Callable[[int], None],
    ) -> None:
        """`on_arrival` returns the number of the accepted request, or None if it is answered already.

        `on_complete` is called with that number when the last byte of a streamed body has arrived, and with
        how long the byte was unread in the socket, in microseconds.  `on_unread_body` is called repeatedly,
        with the number and such a time, while the byte may have been sent and can't be read, because no
        server takes what comes before it.  `on_disconnect` is called with the number when the client
        disconnects before its response.
        """
        self.write_buffer_bytes = memory_limits.write_buffer
        self.max_read_bytes = memory_limits.read
        self.request_memory = MemoryBudget(memory_limits.requests)
        self.upload_memory = MemoryBudget(memory_limits.uploads)
        self.on_arrival = on_arrival
        self.on_complete = on_complete
        self.on_unread_body = on_unread_body
        self.on_disconnect = on_disconnect
        self.is_draining = False  # every further response closes its connection
        self.fails_health_checks = False  # health checks get 503, so that clients go elsewhere
        self.last_opened_at = 0.0
        self._classes = {service_class.name: service_class for service_class in settings.classes}
        self._tenants = frozenset(tenant.name for tenant in settings.tenants)
        self._max_connections = max_connections
        self._connections: dict[DownstreamConnection, None] = {}  # a set in the order of insertion
        self._idle_since: dict[DownstreamConnection, float] = {}
        self._awaited_since: dict[DownstreamConnection, float] = {}
        self._watched: dict[DownstreamConnection, None] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._listener: Listener | None = None

    # Called by the sidecar

    def listen(self, listening: socket.socket) -> None:
        """Accept connections from this socket."""
        self._listener = Listener(listening, lambda: DownstreamConnection(self), self._evict_connection)

    def stop_listening(self, *, accept_queued: bool = False) -> None:
        """Accept no more connections; with `accept_queued`, those in the listen queue are accepted first."""
        if self._listener is not None:
            self._listener.close(accept_queued=accept_queued)

    def drain(self) -> None:
        """Close idle connections; every further response closes its connection."""
        self.is_draining = True
        self.close_idle()

    def resume(self) -> None:
        """Accept clients again after a drain."""
        self.is_draining = self.fails_health_checks = False

    def close_idle(self) -> None:
        """Close idle connections, and those that were opened some time ago and have received no request.

        A connection that was just opened is kept: its client may not know of the drain, and its request may
        be about to arrive.
        """
        now = asyncio.get_running_loop().time()
        unused = _older_than(self._awaited_since, now - _FIRST_REQUEST_GRACE_S)
        for connection in [*self._idle_since, *unused]:
            if connection.is_idle:
                connection.close()

    def reject_incomplete_requests(self) -> None:
        """Reject the requests that have not arrived completely, of which no server has received anything."""
        for connection in list(self._connections):
            connection.reject_incomplete_request()

    @property
    def port(self) -> int:
        """The port on which clients are accepted."""
        assert self._listener is not None
        return self._listener.port

    @property
    def is_accepting(self) -> bool:
        """Whether new connections are accepted and kept open after their response."""
        return self._listener is not None and self._listener.is_open and not self.is_draining

    @property
    def is_streaming_response(self) -> bool:
        """Whether a streamed response is being sent to a client."""
        return any(connection.is_streaming_response for connection in self._connections)

    @property
    def open_connections(self) -> int:
        """The number of connections."""
        return len(self._connections)

    @property
    def is_empty(self) -> bool:
        """Whether no connection is open or being accepted."""
        return not self._connections and (self._listener is None or not self._listener.being_accepted)

    # Called by connections

    def parse(self, head: RequestHead, body: bytes | Upload) -> IncomingRequest:
        """Parse a request by the configured classes and tenants; raise InvalidRequestError if invalid."""
        return parse_request(head, body, self._classes, self._tenants)

    def add(self, connection: DownstreamConnection) -> None:
        """Add a new connection, or close it if the limit is reached and no other can be evicted."""
        self.last_opened_at = asyncio.get_running_loop().time()
        if len(self._connections) >= self._max_connections and not self._evict_connection():
            connection.close_unused()  # all others are waiting for a response
            return
        self._connections[connection] = None
        self.await_client(connection)
        self._schedule_sweep()

    def remove(self, connection: DownstreamConnection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)
        self.clear_timeout(connection)

    def await_client(self, connection: DownstreamConnection) -> None:
        """Start the client timeout: the client must send, read or close within `CLIENT_TIMEOUT_S`."""
        if connection in self._connections:
            self.clear_timeout(connection)
            self._awaited_since[connection] = asyncio.get_running_loop().time()

    def watch_progress(self, connection: DownstreamConnection) -> None:
        """Let the client send or read a body without a timeout as long as it makes progress."""
        if connection in self._connections:
            self.clear_timeout(connection)
            self._watched[connection] = None

    def clear_timeout(self, connection: DownstreamConnection) -> None:
        """Remove a connection from all tables: no timeout applies to it."""
        self._awaited_since.pop(connection, None)
        self._watched.pop(connection, None)
        self._idle_since.pop(connection, None)

    def mark_idle(self, connection: DownstreamConnection) -> None:
        """Mark a connection as idle: its last request was answered, and nothing was received since."""
        if connection in self._connections:
            self.clear_timeout(connection)
            self._idle_since[connection] = asyncio.get_running_loop().time()

    def mark_active(self, connection: DownstreamConnection) -> bool:
        """Start the timeout for a request that begins to arrive; return whether the connection was idle."""
        if self._idle_since.pop(connection, None) is None:
            return False
        self.await_client(connection)
        return True

    # Closing connections

    def close_overdue(self, now: float) -> None:
        """Close connections whose timeout is over; `now` is the time of the event loop's clock.

        Guards against slow, silent and hung peers: each would hold a descriptor forever.
        """
        for connection in _older_than(self._awaited_since, now - CLIENT_TIMEOUT_S):
            del self._awaited_since[connection]
            connection.time_out(now)
        for connection in [connection for connection in self._watched if connection.is_stalled(now)]:
            self._watched.pop(connection, None)
            connection.time_out(now)
        for connection in list(self._watched):
            connection.report_unread_body()
        for connection in _older_than(self._idle_since, now - _IDLE_TIMEOUT_S):
            if connection.is_idle:
                connection.close()

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            interval_s = _STREAMING_SWEEP_INTERVAL_S if self._watched else _SWEEP_INTERVAL_S
            self._sweep_timer = asyncio.get_running_loop().call_later(interval_s, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timer = None
        self.close_overdue(asyncio.get_running_loop().time())
        if self._connections:
            self._schedule_sweep()

    def _evict_connection(self) -> bool:
        """Close one connection without an accepted request to make room; return whether there was one.

        Only a few of each table are considered.  If all were polled for each new connection, a burst of
        connections would leave no processing time for requests.
        """
        awaited = next(
            (
                connection
                for connection in islice(self._awaited_since, _MAX_CANDIDATES)
                if not connection.has_undelivered_bytes
            ),
            None,
        )
        is_late = (
            awaited is not None
            and self.last_opened_at - self._awaited_since[awaited] > _FIRST_REQUEST_GRACE_S
        )
        idle = next(
            (connection for connection in islice(self._idle_since, _MAX_CANDIDATES) if connection.is_idle),
            None,
        )
        candidate = awaited if is_late else idle or awaited or self._slowest_sender()
        if candidate is None:
            return False
        if candidate is idle:
            candidate.close_unused()
        else:
            candidate.abort()  # its write buffer may hold data that the client does not read
        self.remove(candidate)
        return True

    def free_request_memory(self) -> None:
        """Reject the slowest of the requests that are arriving, until they hold no more than the limit."""
        for _ in range(_MAX_CANDIDATES):
            candidate = self._slowest_sender()
            if candidate is None or not self.request_memory.is_exceeded:
                return
            candidate.reject_for_memory()

    def _slowest_sender(self) -> DownstreamConnection | None:
        """Return the connection whose client is furthest behind in sending a buffered body."""
        now = asyncio.get_running_loop().time()
        senders = (connection for connection in self._watched if connection.is_sending_body)
        return max(
            islice(senders, _MAX_CANDIDATES),
            key=lambda connection: connection.receive_progress.lag_s(now),
            default=None,
        )


def _older_than(since: dict[DownstreamConnection, float], time: float) -> list[DownstreamConnection]:
    """Return the connections that entered a table at that time or before, oldest first."""
    return list(takewhile(lambda connection: since[connection] <= time, since))
