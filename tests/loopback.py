"""Test harness on loopback sockets: scripted servers, discovery and clients around one sidecar."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar, cast

import uvloop

from sidecar.address import Address
from sidecar.configuration import parse
from sidecar.connection_socket import ConnectionSocket
from sidecar.interfaces import Transport
from sidecar.sidecar import Sidecar

HOST = "127.0.0.1"
WAIT_TIMEOUT_S = 20.0  # for anything that a test waits for; no measured time depends on it
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"
ERROR = b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
LONG_BODY = bytes(range(256)) * (3 << 12)  # 3 MiB: too long to be buffered, so it is streamed

SERVICE_CLASSES = [
    {"name": "check", "giveUpUs": 3_000_000, "promiseUs": 750_000, "repeat": "read_like"},
    {
        "name": "amend",
        "giveUpUs": 2_000_000,
        "promiseUs": 600_000,
        "repeat": "idempotency_key",
        "group": "cell",
        "memorySpanUs": 2_000_000,
    },
    {"name": "lodge", "giveUpUs": 4_000_000, "promiseUs": 1_200_000, "repeat": "non_idempotent"},
]

T = TypeVar("T")


def run_async(test: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run a test's coroutine function in a new event loop; raises TimeoutError if it hangs."""

    async def run_with_timeout() -> T:
        async with asyncio.timeout(2 * WAIT_TIMEOUT_S):
            return await test()

    return uvloop.run(run_with_timeout())


def free_udp_addresses(count: int) -> tuple[Address, ...]:
    """Return different loopback addresses whose UDP ports, chosen by the system, are free at present."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for udp_socket in sockets:
        udp_socket.bind((HOST, 0))
    addresses: list[Address] = [udp_socket.getsockname() for udp_socket in sockets]
    for udp_socket in sockets:
        udp_socket.close()
    return tuple(addresses)


async def within_timeout(awaitable: Awaitable[T]) -> T:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        return await awaitable


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


@dataclass
class ReceivedRequest:
    """A request that a scripted server received, and the connection that it came on."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int  # numbered from 0 in the order of acceptance
    writer: asyncio.StreamWriter


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    return head[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunked_body(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass  # trailers
    return body


Script = Callable[[ReceivedRequest], Awaitable[bytes | None]]


class ScriptedServer:
    """Answers each request with the bytes that its script returns, or not at all if that is None."""

    def __init__(self, script: Script | bytes | None) -> None:
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.closed_connections: list[int] = []  # numbers of the connections that have ended
        self.connection_count = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> ScriptedServer:
        self._server = await asyncio.start_server(self._serve, HOST, port)
        return self

    @property
    def address(self) -> str:
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, self.connection_count = self.connection_count, self.connection_count + 1
        self._writers.append(writer)
        try:
            while True:
                request_line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = request_line.split(" ")
                request = ReceivedRequest(method, target, headers, body, number, writer)
                self.requests.append(request)
                script = self.script
                response = await script(request) if callable(script) else script
                if response is not None:
                    writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_connections.append(number)
            writer.close()

    def close_connections(self) -> None:
        """Close all open connections; the peers see the end of the stream at once."""
        writers, self._writers = self._writers, []
        for writer in writers:
            if not writer.transport.is_closing():
                # The transport would only shut down its socket in a later iteration of the event loop.
                ConnectionSocket(cast(Transport, writer.transport)).shut_down()
            writer.close()

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.close_connections()


class SlowAcceptServer:
    """A server whose accept queue is full: connections are only established when `accept` is called."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(0)
        self.filler_sockets: list[socket.socket] = []  # client and accepted ends of the test's connections

    @property
    def address(self) -> str:
        return f"{HOST}:{self.listener.getsockname()[1]}"

    async def fill_accept_queue(self) -> None:
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.filler_sockets.append(filler)
        await asyncio.sleep(0.05)

    async def accept(self) -> socket.socket:
        """Empty the accept queue until the sidecar's connection is established; return that connection."""
        filler_addresses = {filler.getsockname() for filler in self.filler_sockets}
        self.listener.setblocking(False)
        loop = asyncio.get_running_loop()
        while True:
            accepted, address = await loop.sock_accept(self.listener)
            if address not in filler_addresses:
                return accepted
            self.filler_sockets.append(accepted)

    def close(self) -> None:
        for open_socket in (self.listener, *self.filler_sockets):
            open_socket.close()


class ScriptedDiscovery(ScriptedServer):
    """Answers polls that may wait when `send_changes` is called, others at once with the complete list."""

    def __init__(self) -> None:
        super().__init__(self._respond)
        self.version = 1
        self.servers: list[dict[str, Any]] = []
        self.changes: asyncio.Queue[bytes] = asyncio.Queue()  # responses to polls that wait

    async def _respond(self, request: ReceivedRequest) -> bytes:
        if "wait_ms" in request.target and not request.target.endswith("wait_ms=0"):
            return await self.changes.get()
        return http_response(
            json.dumps({"version": self.version, "full": True, "servers": self.servers}).encode()
        )

    def send_changes(self, *entries: dict[str, Any]) -> None:
        """Answer the poll that waits, or the next one, with these changed entries under the next version."""
        self.version += 1
        self.changes.put_nowait(
            http_response(json.dumps({"version": self.version, "full": False, "servers": entries}).encode())
        )


def http_response(body: bytes, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status.encode(), len(body), body)


def endpoint_entry(name: str, address: str, **fields: Any) -> dict[str, Any]:
    """Return an entry of an endpoint list in its JSON form."""
    return {"id": name, "addr": address, "zone": "a", "kind": "", "cell": 1, "state": "active", **fields}


@dataclass
class ClientResponse:
    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """One client connection to the sidecar."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, raw: bytes) -> None:
        self.writer.write(raw)

    async def read_response(self) -> ClientResponse:
        status_line, headers = await within_timeout(read_head(self.reader))
        body = await within_timeout(self.reader.readexactly(int(headers["content-length"])))
        return ClientResponse(int(status_line.split(" ")[1]), headers, body)

    async def request(self, service_class: str = "check", **options: Any) -> ClientResponse:
        """Send a request made by `request_bytes` with these options, and return the response."""
        self.send(request_bytes(service_class, **options))
        return await self.read_response()

    def close(self) -> None:
        self.writer.close()


_METHODS = {"check": "GET", "amend": "POST", "lodge": "POST"}
_ids = iter(range(1, 1_000_000))


def request_bytes(
    service_class: str = "check",
    timeout: str = "2.0",
    body: bytes = b"",
    target: str = "/api/7f3a?x=1",
    **headers: str,
) -> bytes:
    """Return a valid request of a class.

    `headers` replace or add fields: `_` in a name stands for `-`, and an empty value leaves the field out.
    """
    fields = {
        "Host": "origin.svc",
        "Request-Id": f"{next(_ids):016x}",
        "Request-Class": service_class,
        "Tenant": "acme",
        "Request-Timeout": timeout,
        "Idempotency-Key": "5c0f" if service_class == "amend" else "",
        "Content-Length": str(len(body)) if _METHODS.get(service_class) == "POST" else "",
    }
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"{_METHODS.get(service_class, 'GET')} {target} HTTP/1.1\r\n{head}\r\n".encode() + body


@dataclass
class SidecarHarness:
    """A running sidecar with its scripted discovery and servers, its log and its clients."""

    sidecar: Sidecar
    discovery: ScriptedDiscovery
    servers: list[ScriptedServer]
    log: list[str]
    clients: list[Client] = field(default_factory=list)

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection(HOST, self.sidecar.downstream.port))
        self.clients.append(client)
        return client

    async def request(self, service_class: str = "check", **options: Any) -> ClientResponse:
        """Send one request on a new connection."""
        return await (await self.client()).request(service_class, **options)

    async def admin_client(self) -> Client:
        """Open a connection to the admin interface."""
        assert self.sidecar.admin_interface is not None
        client = Client(*await asyncio.open_connection(HOST, self.sidecar.admin_interface.port))
        self.clients.append(client)
        return client

    async def admin_request(self, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        """Send an admin request; return the status and the decoded body after the connection has ended."""
        client = await self.admin_client()
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        client.send(f"{method} {path} HTTP/1.1\r\nHost: console\r\n{length}\r\n".encode() + body)
        response = await client.read_response()
        assert await within_timeout(client.reader.read()) == b""
        return response.status, json.loads(response.body) if response.body else None

    async def metrics(self) -> Any:
        status, metrics = await self.admin_request("GET", "/api/telemetry")
        assert status == 200
        return metrics

    @property
    def requests(self) -> list[ReceivedRequest]:
        """The requests that all servers have received."""
        return [request for server in self.servers for request in server.requests]


@asynccontextmanager
async def running_sidecar(
    *scripts: Script | bytes | None,
    bounds: dict[str, Any] | None = None,
    configuration: dict[str, Any] | None = None,
    environment: dict[str, str] | None = None,
    is_listed: bool = True,
    has_admin_interface: bool = False,
    **settings: Any,
) -> AsyncIterator[SidecarHarness]:
    """Run a sidecar, its discovery and one server for each script.

    Unless `is_listed` is false, the sidecar's initial endpoint list holds all servers, as `s-0`, `s-1` etc.
    `configuration` and `settings` replace keys of its configuration file and of `settings` therein; `bounds`
    replace keys of `settings.bounds`.
    """
    servers = [await ScriptedServer(script).start() for script in scripts]
    discovery = ScriptedDiscovery()
    if is_listed:
        discovery.servers = [
            endpoint_entry(f"s-{index}", server.address) for index, server in enumerate(servers)
        ]
    await discovery.start()
    limits = {"sendCap": 3, "mayCancel": True, "retryAfter": True, "dialTimeoutUs": 1_000_000}
    document = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": discovery.address,
        "seed": "8c1f",
        "known": {"version": 1, "full": True, "servers": discovery.servers},
        "settings": {
            "lanes": SERVICE_CLASSES,
            "zone": "a",
            "quantumUs": 5_000,
            "discovery": "on_request",
            "report": {"columns": ["qps", "util"], "source": "piggyback"},
            "bounds": {**limits, **(bounds or {})},
            **settings,
        },
        **({"console": f"{HOST}:0"} if has_admin_interface else {}),
        **(configuration or {}),
    }
    log: list[str] = []
    sidecar = Sidecar(parse(document, environment or {}), lambda event: log.append(str(event)))
    await sidecar.start()
    harness = SidecarHarness(sidecar, discovery, servers, log)
    try:
        yield harness
    finally:
        sidecar.close()
        for client in harness.clients:
            client.close()
        for server in (*servers, discovery):
            server.stop()
