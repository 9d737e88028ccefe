"""Stand-ins for clients, servers, discovery and the platform, shared by the cases of the review.

The sidecar itself runs as separate processes, started with the command `run` of the deploy file.  All
addresses are loopback addresses, and all ports are free ones.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Exit codes of `case.py`.  Python's own exit code after an error is 1, so `run.sh` turns 11 into 1, and every
# other code into 2.
HELD, BROKEN, NOT_RUN = 0, 11, 2

CLASSES = {"check-avail": "GET", "view-route": "GET", "make-booking": "POST", "cancel-booking": "POST"}


class CaseNotRunError(Exception):
    """The case could not be run, which says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, by the time since the start."""

    def __init__(self, directory: Path) -> None:
        self._started_at = time.monotonic()
        self._file = (directory / "record.txt").open("w")

    def now(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():9.4f} {text}\n")

    def report(self, text: str) -> None:
        """Add a line, and print it; nobody may be listening."""
        self.write(text)
        with contextlib.suppress(OSError):
            print(text, flush=True)

    def close(self) -> None:
        """Write everything to the disk."""
        self._file.close()


def settings(instance: int, instances: int) -> dict[str, Any]:
    """Return settings like those of a small deployment of hamilton-canal."""
    lanes = [
        ("check-avail", 750_000, 250_000, 3.0, "read_like"),
        ("view-route", 500_000, 200_000, 1.0, "read_like"),
        ("make-booking", 750_000, 250_000, 3.0, "non_idempotent"),
        ("cancel-booking", 600_000, 300_000, 3.0, "non_idempotent"),
    ]
    return {
        "me": instance,
        "groupSize": instances,
        "tier": 0,
        "layers": ["booking-api"],
        "family": "mesh",
        "zone": "colombo-1",
        "zones": ["colombo-1"],
        "kinds": ["std-3core"],
        "quantumUs": 5_000,
        "weights": "silent",
        "worthBy": "work",
        "discovery": "on_request",
        "overShareWorth": 0.05,
        "lanes": [
            {
                "name": name,
                "giveUpUs": deadline,
                "promiseUs": objective,
                "worth": worth,
                "lateValue": 0.2,
                "repeat": repeat,
                "group": "all",
                "memorySpanUs": 5_000_000,
                "streaming": False,
            }
            for name, deadline, objective, worth, repeat in lanes
        ],
        "realms": [{"name": "trust-direct", "portion": 1.0, "quotaRps": 300.0}],
        "report": {"source": "pull", "columns": ["latency_ms", "eps", "inflight"]},
        "bounds": {
            "sendCap": 4,
            "secondCopies": True,
            "mayCancel": True,
            "mayTell": False,
            "probing": True,
            "retryAfter": True,
            "maxRetryAfterUs": 400_000,
            "dialTimeoutUs": 100_000,
            "idleCloseUs": 10_000_000,
            "streamsPerConn": 1,
            "maxOpen": 26_666,
        },
        "guarantees": {
            "answerSlackUs": 20_000,
            "askWithinUs": 10_000_000,
            "drainGraceUs": 2_000_000,
            "coldFrom": 0.15,
            "coldUs": 23_000_000,
            "fallMultiple": 3.0,
            "fallUs": 1_500_000,
        },
        "prices": {"crossZone": 0.03, "handshake": 0.05, "waste": 0.05, "connection": 0.05},
    }


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


# HTTP


@dataclass
class Message:
    """A request or a response."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split()[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body is chunked or of known length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first_line, headers, body)


def response(body: bytes, status: str = "200 OK", *fields: str) -> bytes:
    """Return a whole response."""
    head = "\r\n".join([f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *fields])
    return f"{head}\r\n\r\n".encode() + body


class HttpServer:
    """Accepts connections and answers each request by `answer`, one at a time on a connection."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """The address as discovery and the configuration write it."""
        return f"{HOST}:{self.port}"

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Cancelled when the case is over.
        ignored = (OSError, EOFError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ignored):
            while not writer.is_closing():
                await self.answer(await read_message(reader), writer)
                await writer.drain()
        writer.close()


class Discovery(HttpServer):
    """A discovery service whose list does not change: it answers a watch when its wait is over."""

    def __init__(self) -> None:
        super().__init__()
        self.servers: list[dict[str, Any]] = []

    def document(self, *, is_complete: bool = True) -> dict[str, Any]:
        """Return the whole list, or no changes."""
        return {"version": 1, "full": is_complete, "servers": self.servers if is_complete else []}

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a call for the list, or a watch."""
        path, _, query = request.target.partition("?")
        if path != "/catalog/members":
            writer.write(response(b"", "404 Not Found"))
            return
        arguments = dict(pair.split("=") for pair in query.split("&")) if query else {}
        is_known = int(arguments.get("after", 0)) >= 1
        if is_known:
            await asyncio.sleep(int(arguments.get("wait_ms", 0)) / 1_000)
        writer.write(response(json.dumps(self.document(is_complete=not is_known)).encode()))


class Server(HttpServer):
    """A sound server: three requests at a time, each takes a few ten milliseconds.

    Its answer to a request is the text `served ID`, so that a client can tell for which request it was made.
    """

    def __init__(self, name: str, record: Record, work_s: Callable[[], float]) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.requests: list[tuple[float, str]] = []  # when its last byte arrived, and its id
        self._work_s = work_s
        self._cores = asyncio.Semaphore(3)

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list of discovery."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": "colombo-1",
            "kind": "std-3core",
            "cell": 0,
            "state": "active",
            "weight": 1.0,
            "started_ms": 0,
        }

    def body(self, request_id: str) -> bytes:
        """Return the body of the answer to a request."""
        return f"served {request_id}".encode()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request, or answer a probe."""
        if request.target in ("/ping", "/_load"):
            writer.write(response(b"latency_ms=30, eps=0, inflight=0"))
            return
        request_id = request.headers.get("request-id", "")
        self.requests.append((self.record.now(), request_id))
        self.record.write(f"{self.name} runs {request_id}")
        async with self._cores:
            await asyncio.sleep(self._work_s())
        await self.reply(request_id, writer)

    async def reply(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Write the answer to a request that has run."""
        writer.write(response(self.body(request_id)))


# Clients and operators


def request_bytes(request_id: str, service_class: str, target: str = "/api", timeout_s: float = 0.4) -> bytes:
    """Return a client's request."""
    method = CLASSES[service_class]
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: origin.svc",
        f"Request-Id: {request_id}",
        f"Request-Class: {service_class}",
        "Tenant: trust-direct",
        f"Request-Timeout: {timeout_s:.3f}",
    ]
    body = b"" if method == "GET" else b"boat=7"
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address: str, method: str, path: str, content: dict[str, Any] | None = None) -> int:
    """Make one HTTP call on a connection of its own; return the status, or 0 if there was no answer."""
    host, _, port = address.rpartition(":")
    body = b"" if content is None else json.dumps(content).encode()
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"{method} {path} HTTP/1.1\r\nHost: sidecar\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            status = (await read_message(reader)).status
            writer.close()
            return status
    except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
        return 0


# The platform


@dataclass
class Process:
    """A process of a sidecar."""

    name: str
    console: str
    system: asyncio.subprocess.Process

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        with contextlib.suppress(ProcessLookupError):
            self.system.send_signal(number)


@dataclass
class Platform:
    """Starts sidecars with the command of the deploy file, and ends them."""

    record: Record
    discovery: Discovery
    directory: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-")))
    processes: list[Process] = field(default_factory=list)

    async def start(
        self,
        name: str,
        listen: str,
        *,
        instance: int = 0,
        instances: int = 1,
        listener: socket.socket | None = None,
    ) -> Process:
        """Start a process; processes of one name share their `$TMPDIR`."""
        console = f"{HOST}:{free_port()}"
        state = self.directory / name
        state.mkdir(exist_ok=True)
        configuration = {
            "name": name,
            "listen": listen,
            "discovery": self.discovery.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
            "known": self.discovery.document(),
            "settings": settings(instance, instances),
        }
        path = self.directory / f"{name}-{len(self.processes)}.json"
        path.write_text(json.dumps(configuration))
        environment = {
            "PATH": os.environ.get("PATH", os.defpath),
            "TMPDIR": str(state),
            "BALANCER_NAME": name,
            "BALANCER_LISTEN": listen,
            "BALANCER_DISCOVERY": self.discovery.address,
            "BALANCER_CONFIG": str(path),
            "BALANCER_CONSOLE": console,
        }
        if listener is not None:
            environment["BALANCER_SOCKET_FD"] = str(listener.fileno())
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.directory / f"{name}-{len(self.processes)}.log").open("wb") as log:
            system = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                pass_fds=() if listener is None else (listener.fileno(),),
            )
        process = Process(name, console, system)
        self.processes.append(process)
        self.record.write(f"started {name}, process {len(self.processes)}, console {console}")
        return process

    async def wait_until_ready(self, process: Process) -> None:
        """Wait for the yes of a process."""
        for _ in range(600):
            if process.system.returncode is not None:
                raise CaseNotRunError(f"{process.name} ended at its start")
            if await call(process.console, "GET", "/api/ready") == 200:
                self.record.write(f"{process.name} says yes at {process.console}")
                return
            await asyncio.sleep(0.02)
        raise CaseNotRunError(f"{process.name} is not ready")

    async def stop(self) -> None:
        """End all processes, and add their logs to the record."""
        for process in self.processes:
            if process.system.returncode is None:
                process.send(signal.SIGKILL)
            await process.system.wait()
        for log in sorted(self.directory.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines()[:50]:
                self.record.write(f"log of {log.stem}: {line}")
        shutil.rmtree(self.directory, ignore_errors=True)


Case = Callable[[Record], Awaitable[int]]


async def running(platform: Platform, servers: list[Server], case: Coroutine[Any, Any, int]) -> int:
    """Start discovery and the servers, run a case, and end all processes whatever happens."""
    try:
        return await case
    finally:
        await platform.stop()
        platform.record.write(f"servers ran {sum(len(server.requests) for server in servers)} requests")


def main(case: Case, file: str) -> None:
    """Run a case for 110 s at most, and exit with its result."""
    record = Record(Path(file).resolve().parent)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that all processes are ended then, too

    async def limited() -> int:
        async with asyncio.timeout(110.0):
            return await case(record)

    try:
        result = asyncio.run(limited())
    except (Exception, KeyboardInterrupt) as error:
        record.write(f"the case could not be run: {error!r}")
        result = NOT_RUN
    text = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result]
    record.report(text)
    record.close()
    sys.exit(result)
