"""The connection pool for all servers: establishes, reuses and closes connections within one limit."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from dataclasses import dataclass

from balancer.events import EndpointEntry, EndpointState, Outcome
from balancer.settings import Limits
from sidecar.address import Address
from sidecar.clock import Clock
from sidecar.discovery.endpoint_list import EndpointList
from sidecar.downstream.flow_control import MAX_BUFFERED_BODY_BYTES
from sidecar.memory_budget import MemoryBudget
from sidecar.memory_limits import MAX_READ_BYTES
from sidecar.socket_binding import NO_RESOURCES_ERRORS
from sidecar.upstream.attempt import Attempt
from sidecar.upstream.http_exchange import UpstreamConnection

_IDLE_TIMEOUT_MARGIN = 0.1  # fraction of the idle timeout that is left unused, as servers may close first
_SWEEPS_PER_IDLE_TIMEOUT = 4
_REST_US = 10_000  # after a response; a second one may come some milliseconds late
_MAX_SECOND_RESPONSE_DELAY_US = 1_000_000  # later data is no second response
_RESTS_FOR_US = 60_000_000  # after a second response, whose server may send more of them
# Errors which mean that this machine, not the server, lacked resources for a connection.
_LOCAL_ERRORS = (*NO_RESOURCES_ERRORS, errno.EADDRNOTAVAIL)


@dataclass(slots=True)
class IdleConnection:
    """A connection that can be reused, and since when it has been idle."""

    connection: UpstreamConnection
    since: int


class PooledEndpoint:
    """The address of a server, and the idle connections to its current process."""

    __slots__ = ("address", "idle", "is_draining", "is_excluded", "locality", "started_at")

    def __init__(self, address: Address, entry: EndpointEntry, *, is_excluded: bool) -> None:
        self.address = address
        self.started_at = entry.started_at
        self.locality = entry.zone, entry.cell
        self.is_draining = False  # according to the endpoint list, or no longer listed
        self.is_excluded = is_excluded  # by an operator
        self.idle: list[IdleConnection] = []  # the most recently used last

    def matches(self, address: Address, entry: EndpointEntry) -> bool:
        """Whether an entry of the endpoint list is for the same process, at the same address and locality."""
        is_unmoved = address == self.address and (entry.zone, entry.cell) == self.locality
        return is_unmoved and entry.started_at == self.started_at

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle, self.idle = self.idle, []
        for entry in idle:
            entry.connection.close()


class ConnectionPool:
    """All connections to servers; those being established count against the limit as well."""

    def __init__(
        self,
        clock: Clock,
        limits: Limits,
        max_connections: int,
        on_connected: Callable[[Attempt, PooledEndpoint, UpstreamConnection], None],
        on_connect_failed: Callable[[Attempt, Outcome], None],
        max_read_bytes: int = MAX_READ_BYTES,
        response_memory: MemoryBudget | None = None,
    ) -> None:
        """Each call of `connect` is answered by one call of `on_connected` or `on_connect_failed`."""
        self._max_read_bytes = max_read_bytes
        self._response_memory = response_memory
        self._clock = clock
        self._connect_timeout_s = limits.connect_timeout_us / 1e6
        self._max_idle_us = int(limits.idle_timeout_us * (1.0 - _IDLE_TIMEOUT_MARGIN))
        self._max_connections = max_connections
        self._on_connected = on_connected
        self._on_connect_failed = on_connect_failed
        self.endpoints: dict[str, PooledEndpoint] = {}
        self.excluded: set[str] = set()  # including servers that are not listed now
        self._endpoint_of: dict[UpstreamConnection, PooledEndpoint] = {}  # every established connection
        self._connecting = 0
        self._rests_until = 0  # clock time until which connections rest before they are reused
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None

    # Endpoints

    def update_endpoints(self, endpoint_list: EndpointList) -> None:
        """Apply an endpoint list or its changes."""
        if endpoint_list.is_complete:
            for name in self.endpoints.keys() - {listed.entry.server for listed in endpoint_list.endpoints}:
                self._remove_endpoint(name)
        for listed in endpoint_list.endpoints:
            name, address = listed.entry.server, listed.address
            if address is None:
                self._remove_endpoint(name)
                continue
            endpoint = self.endpoints.get(name)
            # Guards against writing to an earlier process of the same name, or to a server that has left the
            # zone or cell for which a retry was chosen.
            if endpoint is None or not endpoint.matches(address, listed.entry):
                self._remove_endpoint(name)
                endpoint = PooledEndpoint(address, listed.entry, is_excluded=name in self.excluded)
                self.endpoints[name] = endpoint
            endpoint.is_draining = listed.entry.state is not EndpointState.READY
            if endpoint.is_draining:
                endpoint.close_idle()

    def _remove_endpoint(self, name: str) -> None:
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            endpoint.is_draining = True  # seen by connections that are being established
            endpoint.close_idle()

    def exclude(self, name: str) -> None:
        """Mark a server as excluded, listed or not, and close its idle connections."""
        self.excluded.add(name)
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.is_excluded = True
            endpoint.close_idle()

    def include(self, name: str) -> None:
        """Revoke `exclude`."""
        self.excluded.discard(name)
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.is_excluded = False

    # Connections

    def take_idle(self, endpoint: PooledEndpoint) -> UpstreamConnection | None:
        """Return the most recently used idle connection that is usable, if any.

        While servers send second responses, connections rest first: a second response that arrives after the
        next request was written would be taken for the response to that request.
        """
        now = self._clock.now()
        used_before = now - _REST_US if now < self._rests_until else now
        resting = [idle for idle in endpoint.idle if idle.since > used_before]
        while len(endpoint.idle) > len(resting):
            idle = endpoint.idle.pop(len(endpoint.idle) - len(resting) - 1)
            if now - idle.since < self._max_idle_us and idle.connection.is_usable():
                return idle.connection
            self._check_second_response(idle)
            idle.connection.close()
        return None

    def _check_second_response(self, idle: IdleConnection) -> None:
        """Let connections rest for a while if one that has become unusable got a second response."""
        now = self._clock.now()
        if now - idle.since < _MAX_SECOND_RESPONSE_DELAY_US and idle.connection.has_unsolicited_data():
            self._rests_until = now + _RESTS_FOR_US

    @property
    def open_connections(self) -> int:
        """The number of connections, including those being established."""
        return len(self._endpoint_of) + self._connecting

    def has_capacity(self) -> bool:
        """Whether one more connection may be established; closes the longest idle one if that is needed."""
        return self.open_connections < self._max_connections or self._close_oldest()

    def connect(self, attempt: Attempt, endpoint: PooledEndpoint) -> None:
        """Establish a connection for an attempt; the caller has checked `has_capacity`."""
        self._connecting += 1
        task = asyncio.get_running_loop().create_task(self._connect(attempt, endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, attempt: Attempt, endpoint: PooledEndpoint) -> None:
        outcome = Outcome.CONNECT_FAILED
        connection: UpstreamConnection | None = None
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: UpstreamConnection(
                        MAX_BUFFERED_BODY_BYTES,
                        self.release,
                        self._remove_connection,
                        self._max_read_bytes,
                        self._response_memory,
                    ),
                    *endpoint.address,
                )
        except (OSError, TimeoutError) as error:
            if isinstance(error, OSError) and error.errno in _LOCAL_ERRORS:
                outcome = Outcome.NOT_SENT
        finally:
            self._connecting -= 1
        if connection is None:
            self._on_connect_failed(attempt, outcome)
        elif connection.is_usable():
            self._endpoint_of[connection] = endpoint
            self._on_connected(attempt, endpoint, connection)
        else:
            # It is not added, because it may have ended before this point, and then nothing would remove it.
            connection.close()
            self._on_connect_failed(attempt, Outcome.CONNECT_FAILED)

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for reuse, unless its server is draining or excluded."""
        endpoint = self._endpoint_of.get(connection)
        if endpoint is None or endpoint.is_draining or endpoint.is_excluded:
            connection.close()
            return
        endpoint.idle.append(IdleConnection(connection, self._clock.now()))
        if self._sweep_timer is None:
            self._schedule_sweep()

    def _remove_connection(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""
        endpoint = self._endpoint_of.pop(connection, None)
        if endpoint is None:
            return
        for idle in endpoint.idle:
            if idle.connection is connection:
                self._check_second_response(idle)
        endpoint.idle = [idle for idle in endpoint.idle if idle.connection is not connection]

    def resize(self, max_connections: int) -> None:
        """Change the limit; the longest idle connections are closed to meet it."""
        self._max_connections = max_connections
        while self.open_connections > max_connections and self._close_oldest():
            pass

    def _close_oldest(self) -> bool:
        """Close the longest idle connection; return whether there was one."""
        oldest = min(
            (endpoint for endpoint in self.endpoints.values() if endpoint.idle),
            key=lambda endpoint: endpoint.idle[0].since,
            default=None,
        )
        if oldest is None:
            return False
        oldest.idle.pop(0).connection.close()
        return True

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a server, if it is listed."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.close_idle()

    def _schedule_sweep(self) -> None:
        interval_s = self._max_idle_us / _SWEEPS_PER_IDLE_TIMEOUT / 1e6
        self._sweep_timer = asyncio.get_running_loop().call_later(interval_s, self._close_expired)

    def _close_expired(self) -> None:
        """Close connections that have been idle for nearly as long as servers allow."""
        self._sweep_timer = None
        idle_since_limit = self._clock.now() - self._max_idle_us
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].since <= idle_since_limit:
                endpoint.idle.pop(0).connection.close()
        if any(endpoint.idle for endpoint in self.endpoints.values()):
            self._schedule_sweep()

    def close(self) -> None:
        """Close all connections, and cancel those being established."""
        for task in self._tasks:
            task.cancel()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for connection in list(self._endpoint_of):
            connection.close()
