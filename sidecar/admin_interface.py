"""The admin interface: an HTTP server on a separate address that handles one request per connection.

It reads requests and writes responses; the operations themselves are implemented by an `AdminOperations`.
A client that is slow or silent, or does not speak HTTP, gets an error response or is disconnected, and cannot
block other clients: the number of connections and the duration of each are limited, and a connection beyond
the limit closes the oldest one.

Operators' tools depend on the paths, methods and bodies, so these must not change.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, cast

from sidecar.address import Address
from sidecar.errors import SidecarError
from sidecar.http import CONTINUE, MalformedMessageError, RequestHead, RequestReader, Signal, response_head
from sidecar.socket_binding import bind_listener, bind_with_retry

MAX_CONNECTIONS = 16  # open at the same time; each uses a file descriptor
_MAX_BODY_BYTES = 4 << 10
_CONNECTION_TIMEOUT_S = 2.0  # for request and response; operators' tools give up after 1 s
_CONTENT_TYPE = (b"content-type", b"application/json")


class AdminOperations(Protocol):
    """The operations that operators can request; a bool is true if the operation was carried out."""

    def is_ready(self) -> bool:
        """Return whether this process accepts clients."""

    def metrics(self) -> dict[str, object]:
        """Return all metrics by name."""

    def exclude(self, server: str) -> bool:
        """Send no more requests to a server; return False if it was never listed."""

    def include(self, server: str) -> bool:
        """Use an excluded server again; return False if it was never listed."""

    def drain_clients(self) -> bool:
        """Drain clients as in a graceful shutdown, but keep running; return False during a shutdown."""

    def resume_clients(self) -> bool:
        """Accept clients again after draining; return False during a graceful shutdown."""


class AdminRequestError(SidecarError):
    """The body of an admin request is invalid."""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """A response whose body is `content` encoded as JSON."""

    status: int
    content: dict[str, object] = field(default_factory=dict)
    allow: bytes | None = None  # value of the Allow header of a 405 response


@dataclass(frozen=True, slots=True)
class _Route:
    method: bytes
    handler: Callable[[bytes], AdminResponse]  # called with the request's body


class AdminRoutes:
    """Maps paths and methods to operations."""

    def __init__(self, operations: AdminOperations) -> None:
        self._operations = operations
        self._routes = {
            b"/api/ready": _Route(b"GET", self._ready),
            b"/api/telemetry": _Route(b"GET", self._metrics),
            b"/api/exclude": _Route(b"POST", self._exclude),
            b"/api/include": _Route(b"POST", self._include),
            b"/api/evacuate": _Route(b"POST", self._drain_clients),
            b"/api/rejoin": _Route(b"POST", self._resume_clients),
        }

    def reject(self, request: RequestHead) -> AdminResponse | None:
        """Return the error response for an unknown path or wrong method; None if the body is to be read."""
        route = self._routes.get(_path(request))
        if route is None:
            return AdminResponse(404, {"error": "there is no such call"})
        if request.method != route.method:
            return AdminResponse(405, {"error": f"the method is {route.method.decode()}"}, route.method)
        return None

    def handle(self, request: RequestHead, body: bytes) -> AdminResponse:
        """Carry out a request for which `reject` returned None."""
        try:
            return self._routes[_path(request)].handler(body)
        except AdminRequestError as error:
            return AdminResponse(400, {"error": str(error)})

    def _ready(self, _: bytes) -> AdminResponse:
        return _confirm(503, "it takes no clients now", is_done=self._operations.is_ready())

    def _metrics(self, _: bytes) -> AdminResponse:
        return AdminResponse(200, self._operations.metrics())

    def _exclude(self, body: bytes) -> AdminResponse:
        return _confirm(
            404, "no server of this id was ever listed", is_done=self._operations.exclude(_server(body))
        )

    def _include(self, body: bytes) -> AdminResponse:
        return _confirm(
            404, "no server of this id was ever listed", is_done=self._operations.include(_server(body))
        )

    def _drain_clients(self, _: bytes) -> AdminResponse:
        return _confirm(409, "it is about to end", is_done=self._operations.drain_clients())

    def _resume_clients(self, _: bytes) -> AdminResponse:
        return _confirm(409, "it is about to end", is_done=self._operations.resume_clients())


class AdminInterface:
    """The listener and up to `MAX_CONNECTIONS` connections."""

    def __init__(self, operations: AdminOperations) -> None:
        self.routes = AdminRoutes(operations)
        self._connections: dict[_AdminConnection, None] = {}  # oldest first
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Accept connections; raise OSError if the address can't be bound."""
        listening = await bind_with_retry(lambda: bind_listener(address, MAX_CONNECTIONS))
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _AdminConnection(self), sock=listening, backlog=MAX_CONNECTIONS
        )

    @property
    def port(self) -> int:
        """The port that the interface listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def connection_opened(self, connection: _AdminConnection) -> None:
        """Register a connection; abort the oldest one if the limit is exceeded."""
        if len(self._connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.abort()
        self._connections[connection] = None

    def connection_closed(self, connection: _AdminConnection) -> None:
        """Unregister a connection."""
        self._connections.pop(connection, None)


class _AdminConnection(asyncio.Protocol):
    """A connection of the admin interface, which handles one request."""

    def __init__(self, interface: AdminInterface) -> None:
        self._interface = interface
        self._http = RequestReader()
        self._transport: asyncio.Transport | None = None
        self._request: RequestHead | None = None
        self._body = bytearray()
        self._has_responded = False
        self._timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports don't derive from asyncio.Transport, so an isinstance check would fail.
        self._transport = cast(asyncio.Transport, transport)
        self._timeout = asyncio.get_running_loop().call_later(_CONNECTION_TIMEOUT_S, self._timed_out)
        self._interface.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        if self._has_responded:
            return
        self._http.receive(data)
        try:
            self._read_request()
        except MalformedMessageError as error:
            self._respond(AdminResponse(error.status, {"error": f"this is no HTTP/1.1: {error}"}))

    def connection_lost(self, _exc: Exception | None) -> None:
        self._has_responded = True
        if self._timeout is not None:
            self._timeout.cancel()
        self._interface.connection_closed(self)

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def _timed_out(self) -> None:
        if self._has_responded or self._request is None:
            self.abort()
        else:
            self._respond(AdminResponse(408, {"error": "the call was not sent in time"}))

    def _read_request(self) -> None:
        while not self._has_responded:
            event = self._http.next_event()
            if isinstance(event, RequestHead):
                self._head_received(event)
            elif isinstance(event, bytes):
                self._body_received(event)
            elif event is Signal.END:
                assert self._request is not None
                self._respond(self._interface.routes.handle(self._request, bytes(self._body)))
            else:  # more data is needed, or none will come
                return

    def _head_received(self, request: RequestHead) -> None:
        self._request = request
        rejection = self._interface.routes.reject(request)
        if rejection is not None:
            self._respond(rejection)
        elif request.expects_continue:
            self._write(CONTINUE)

    def _body_received(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > _MAX_BODY_BYTES:
            self._respond(AdminResponse(413, {"error": "the body is too long"}))

    def _respond(self, response: AdminResponse) -> None:
        self._has_responded = True
        content = json.dumps(response.content).encode()
        headers = [_CONTENT_TYPE, (b"content-length", b"%d" % len(content)), (b"connection", b"close")]
        if response.allow is not None:
            headers.append((b"allow", response.allow))
        self._write(response_head(response.status, headers))
        if self._request is None or self._request.method != b"HEAD":
            self._write(content)
        if self._transport is not None:
            # Only the sending side is closed, and further data from the client is discarded: closing the
            # socket with unread data would reset the connection before the client has read the response.
            # If the client does not close its side, the timeout aborts the connection.
            self._transport.write_eof()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)


def _path(request: RequestHead) -> bytes:
    return request.target.partition(b"?")[0]


def _confirm(error_status: int, error: str, *, is_done: bool) -> AdminResponse:
    return AdminResponse(200, {"ok": True}) if is_done else AdminResponse(error_status, {"error": error})


def _server(body: bytes) -> str:
    """Return the server id in the body of a request.

    Raises:
        AdminRequestError: the body is not a JSON object with a non-empty `member`.
    """
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        raise AdminRequestError("the body is no JSON") from None
    server = content.get("member") if isinstance(content, dict) else None
    if not isinstance(server, str) or not server:
        raise AdminRequestError('an object with a text "member" is needed')
    return server
