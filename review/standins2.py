"""Stand-ins of the second review: a sidecar's platform, discovery, servers and clients, on loopback.

A case is a coroutine that gets a `Place`.  It returns the violations that clients, servers and the platform
saw.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, NOT_RUN, BROKEN = 0, 2, 3  # `run.sh` turns 3 into 1; 1 is what Python exits with by itself
MAX_RUN_S = 110.0
READY_S = 30.0
GRACE_S = 0.5  # after its time a request may still get its final answer


class CannotRunError(Exception):
    """The case can't run here, or its stand-ins did not do what they should."""


def lane(name: str, *, is_safe: bool, give_up_ms: int = 750, aim_ms: int = 250) -> dict[str, Any]:
    """Return a class of requests as the settings state it."""
    return {
        "name": name,
        "giveUpUs": give_up_ms * 1_000,
        "promiseUs": aim_ms * 1_000,
        "repeat": "read_like" if is_safe else "non_idempotent",
        "group": "all",
        "memorySpanUs": 5_000_000,
        "streaming": False,
        "worth": 3.0,
        "lateValue": 0.2,
    }


def settings(lanes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the settings of a small deployment: three sidecars, two zones, lists that are asked for."""
    return {
        "lanes": lanes,
        "bounds": {
            "sendCap": 4,
            "secondCopies": True,
            "mayCancel": True,
            "mayTell": False,
            "probing": False,
            "retryAfter": True,
            "maxRetryAfterUs": 400_000,
            "dialTimeoutUs": 100_000,
            "idleCloseUs": 10_000_000,
            "streamsPerConn": 1,
        },
        "discovery": "on_request",
        "groupSize": 3,
        "me": 0,
        "tier": 0,
        "zone": "a",
        "zones": ["a", "b"],
        "quantumUs": 5_000,
        "weights": "silent",
        "worthBy": "work",
        "report": {"source": "silent", "columns": []},
        "guarantees": {
            "answerSlackUs": 20_000,
            "askWithinUs": 10_000_000,
            "drainGraceUs": 2_000_000,
            "coldFrom": 0.15,
            "coldUs": 20_000_000,
            "fallMultiple": 3.0,
            "fallUs": 1_500_000,
        },
    }


class Record:
    """The record of a run, one JSON object a line, with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w")
        self._started_at = time.monotonic()

    def __call__(self, who: str, what: str, **details: object) -> None:
        """Write one line."""
        line = {"at": round(time.monotonic() - self._started_at, 4), "who": who, "what": what, **details}
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(slots=True)
class Message:
    """A request as a server got it, or a response as a client got it."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; return None if the peer ended the connection before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = (line.split(":", 1) for line in lines if line)
    return Message(first, {name.strip().lower(): value.strip() for name, value in fields})


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message; raises if the connection ends before the body's end."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))


def response(status: int, body: bytes = b"", *fields: str) -> bytes:
    """Return a response of known length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}", *fields, "", ""]
    return "\r\n".join(lines).encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the machine of a process that died does."""
    with contextlib.suppress(OSError):
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


class Party:
    """Something that listens on a loopback address and handles connections in this process."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.port = 0
        self.receive_buffer: int | None = None  # of the sockets, in bytes; None: the system's
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The address, as lists and configurations state it."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen, on the same port as before if there was one."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer is not None:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listening.bind((HOST, self.port))
        self._listener = await asyncio.start_server(self._accepted, sock=listening, limit=1 << 20)
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks:
            task.cancel()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection."""
        raise NotImplementedError


class Server(Party):
    """A server that answers each request after some work with a body that names the request."""

    def __init__(self, name: str, record: Record, zone: str = "a", work_s: float = 0.01) -> None:
        super().__init__(name)
        self.record = record
        self.zone = zone
        self.work_s = work_s
        self.state = "active"
        self.started_ms = 0
        self.ran: dict[str, int] = {}  # how often each request ran here
        self.ran_at: list[float] = []
        self.body_timeout_s: float | None = None  # for the body of a request, after its head

    def entry(self) -> dict[str, object]:
        """Return the server's entry of discovery's list."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": self.zone,
            "kind": "node",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer request after request."""
        while (request := await read_head(reader)) is not None:
            try:
                async with asyncio.timeout(self.body_timeout_s):
                    await read_body(reader, request)
            except TimeoutError:
                return
            await self.answer(request, writer)

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it."""
        number = self.run(request)
        await asyncio.sleep(self.work_s)
        writer.write(response(200, f"answer to {number}".encode()))
        await writer.drain()

    def run(self, request: Message) -> str:
        """Count a request as run; return its id."""
        number = request.headers.get("request-id", "none")
        self.ran[number] = self.ran.get(number, 0) + 1
        self.ran_at.append(time.monotonic())
        self.record(self.name, "ran", request=number)
        return number


class Discovery(Party):
    """Discovery: the whole list, and watches that are answered when the list has changed."""

    def __init__(self, record: Record, servers: list[Server]) -> None:
        super().__init__("discovery")
        self._record = record
        self._servers = servers
        self.version = 1
        self._changed = asyncio.Event()

    def publish(self) -> None:
        """Tell a change of the list."""
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def document(self) -> dict[str, object]:
        """Return the whole list."""
        entries = [server.entry() for server in self._servers if server.state != "left"]
        return {"version": self.version, "full": True, "servers": entries}

    async def before_answer(self) -> None:
        """Do what delays an answer; a stand-in may override it."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer call after call."""
        while (call := await read_head(reader)) is not None:
            query = dict(
                part.split("=") for part in call.first_line.split()[1].partition("?")[2].split("&") if part
            )
            if int(query.get("after", "0")) >= self.version:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(min(int(query.get("wait_ms", "0")), 60_000) / 1_000):
                        await self._changed.wait()
            await self.before_answer()
            document = self.document()
            if int(query.get("after", "0")) >= self.version:
                document = {"version": self.version, "full": False, "servers": []}
            writer.write(response(200, json.dumps(document).encode()))
            await writer.drain()
            self._record("discovery", "told", version=self.version, full=document["full"])


class Sidecar:
    """A sidecar process, started by `run` of the deploy file."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, port: int, log: Path) -> None:
        self.name = name
        self.process = process
        self.port = port
        self.log = log

    def signal(self, number: int) -> None:
        """Send a signal, if the process has not ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process, if it has not ended."""
        self.signal(signal.SIGKILL)
        await self.process.wait()


@dataclass(slots=True)
class Outcome:
    """What a client saw of one request."""

    number: str
    kind: str  # "answered", "broken", "closed" (before the first byte) or "nothing"
    status: int = 0
    body: bytes = b""
    waited_s: float = 0.0  # from the request's last byte
    is_taken: bool = False  # its last byte was written, so the sidecar owes a final answer


@dataclass(slots=True)
class Connection:
    """A client's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    was_used: bool = False


class Client:
    """The application beside a sidecar: keeps its connections, and opens more when all are busy."""

    def __init__(self, port: int, record: Record, name: str = "client") -> None:
        self._port = port
        self._record = record
        self._name = name
        self._idle: list[Connection] = []
        self._numbers = itertools.count(1)
        self.outcomes: list[Outcome] = []

    async def request(
        self, lane_name: str, *, is_safe: bool, timeout_s: float, body: bytes = b"", extra_s: float = GRACE_S
    ) -> Outcome:
        """Send a request and wait for its answer, `extra_s` longer than the client states.

        A request that crosses the end of a kept connection is sent once more on a new one.
        """
        number = f"{self._name}-{next(self._numbers):06d}"
        head = (
            f"{'GET' if is_safe else 'POST'} /api/{number} HTTP/1.1\r\nHost: origin.svc\r\n"
            f"Request-Id: {number}\r\nRequest-Class: {lane_name}\r\nRequest-Timeout: {timeout_s:.3f}\r\n"
        )
        if not is_safe:
            head += f"Content-Length: {len(body)}\r\n"
        data = head.encode() + b"\r\n" + body
        self._record(self._name, "sent", request=number, lane=lane_name, bytes=len(body))
        outcome = await self._exchange(number, data, timeout_s + extra_s, is_first=True)
        if outcome is None:
            outcome = await self._exchange(number, data, timeout_s + extra_s, is_first=False)
        assert outcome is not None
        self._record(
            self._name,
            "ended",
            request=number,
            kind=outcome.kind,
            status=outcome.status,
            waited_s=round(outcome.waited_s, 4),
            body=outcome.body[:40].decode("latin-1"),
        )
        self.outcomes.append(outcome)
        return outcome

    async def _connect(self) -> Connection:
        reader, writer = await asyncio.open_connection(HOST, self._port, limit=1 << 20)
        return Connection(reader, writer)

    async def _exchange(self, number: str, data: bytes, wait_s: float, *, is_first: bool) -> Outcome | None:
        """Return the outcome; None if the request crossed the end of a kept connection."""
        try:
            connection = self._idle.pop() if self._idle and is_first else await self._connect()
        except OSError:
            return Outcome(number, "closed")
        started_at = time.monotonic()
        message: Message | None = None
        outcome = Outcome(number, "nothing")
        try:
            connection.writer.transport.set_write_buffer_limits(high=0)
            connection.writer.write(data)
            await connection.writer.drain()
            outcome.is_taken, started_at = True, time.monotonic()
            async with asyncio.timeout(wait_s):
                message = await read_head(connection.reader)
                if message is None:
                    outcome.kind = "closed"
                else:
                    outcome.kind, outcome.status = "broken", int(message.first_line.split()[1])
                    await read_body(connection.reader, message)
                    outcome.kind, outcome.body = "answered", message.body
        except TimeoutError:
            outcome.kind = "nothing"
        except (ConnectionError, asyncio.IncompleteReadError):
            outcome.kind = "broken" if message is not None else "closed"
        outcome.waited_s = time.monotonic() - started_at
        if outcome.kind == "closed" and connection.was_used and is_first:
            connection.writer.close()
            return None
        is_last = message is None or message.headers.get("connection", "").lower() == "close"
        if outcome.kind == "answered" and not is_last:
            connection.was_used = True
            self._idle.append(connection)
        else:
            connection.writer.close()
        return outcome

    def close(self) -> None:
        """Close all connections."""
        for connection in self._idle:
            connection.writer.close()
        self._idle.clear()


@dataclass(slots=True)
class Place:
    """Where a case runs: its record, its temporary folder, and whether the disruption takes place."""

    record: Record
    folder: Path
    has_trouble: bool
    parties: list[Party] = field(default_factory=list)
    sidecars: list[Sidecar] = field(default_factory=list)

    async def start_parties(self, *parties: Party) -> None:
        """Start stand-ins; they are stopped at the end."""
        for party in parties:
            await party.start()
            self.parties.append(party)

    async def start_sidecar(
        self,
        name: str,
        discovery: Discovery,
        sidecar_settings: dict[str, Any],
        *,
        environment: dict[str, str] | None = None,
        descriptor: int | None = None,
        temp_folder: Path | None = None,
        port: int | None = None,
        known: dict[str, object] | None = None,
    ) -> Sidecar:
        """Start a sidecar with the list that it last had, else discovery's, and wait until it serves."""
        port = port or free_port()
        own_folder = self.folder / f"{name}-{len(self.sidecars)}"
        own_folder.mkdir()
        temp_folder = temp_folder or own_folder / "tmp"
        temp_folder.mkdir(exist_ok=True)
        configuration = {
            "name": name,
            "listen": f"{HOST}:{port}",
            "discovery": discovery.address,
            "seed": "8c1f30d2",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
            "known": known or discovery.document(),
            "settings": sidecar_settings,
        }
        path = own_folder / "config.json"
        path.write_text(json.dumps(configuration))
        log = own_folder / "log.txt"
        with log.open("wb") as log_file:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run_command(),
                cwd=ROOT,
                env={
                    **os.environ,
                    "BALANCER_CONFIG": str(path),
                    "TMPDIR": str(temp_folder),
                    **(environment or {}),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
                pass_fds=() if descriptor is None else (descriptor,),
            )
        sidecar = Sidecar(name, process, port, log)
        self.sidecars.append(sidecar)
        ends_at = time.monotonic() + READY_S
        while b"listening:" not in log.read_bytes():
            if process.returncode is not None or time.monotonic() > ends_at:
                raise CannotRunError(f"{name} is not ready: {log.read_text()[-500:]}")
            await asyncio.sleep(0.05)
        self.record("platform", "sidecar ready", name=name)
        return sidecar


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def run_command() -> str:
    """Return `run` of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


def rejecting_windows(
    ended: list[tuple[float, Outcome]], attempts: list[float], since: float, window_s: float = 4.0
) -> list[str]:
    """Return a violation if all of 15 or more requests of a window were rejected with no attempt in between.

    `ended` has the requests by the time of their end, `attempts` the times at which any server was reached.
    """
    start = since
    while ended and start + window_s <= ended[-1][0]:
        inside = [outcome for at, outcome in ended if start <= at < start + window_s]
        rejected = [outcome for outcome in inside if outcome.status in (429, 503)]
        is_tried = any(start <= at < start + window_s for at in attempts)
        if len(rejected) == len(inside) >= 15 and not is_tried:
            return [
                f"all {len(inside)} requests of {window_s:.0f} s were rejected, with no attempt in between"
            ]
        start += 0.5
    return []


@contextlib.asynccontextmanager
async def every(interval_s: float, action: Callable[[], Awaitable[object]]) -> AsyncIterator[None]:
    """Begin `action` at each interval while the block runs, then wait until all have ended."""
    tasks: set[asyncio.Task[object]] = set()

    async def repeat() -> None:
        due = time.monotonic()
        while True:
            task = asyncio.ensure_future(action())
            tasks.add(task)
            due += interval_s
            await asyncio.sleep(max(due - time.monotonic(), 0.0))

    repeating = asyncio.ensure_future(repeat())
    try:
        yield
    finally:
        repeating.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def main(case: Callable[[Place], Awaitable[list[str]]]) -> None:
    """Run a case beside the calling script and exit with its code."""
    own_folder = Path(sys.argv[0]).resolve().parent
    record = Record(own_folder / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    place = Place(record, folder, os.environ.get("TROUBLE", "1") != "0")
    try:
        code = asyncio.run(_run(case, place))
    finally:
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)


async def _run(case: Callable[[Place], Awaitable[list[str]]], place: Place) -> int:
    for number in (signal.SIGTERM, signal.SIGINT):
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    violations: list[str] | None = None
    try:
        async with asyncio.timeout(MAX_RUN_S):
            violations = await case(place)
    except (Exception, asyncio.CancelledError) as error:
        traceback.print_exc()
        place.record("case", "could not run", reason=repr(error))
    finally:
        for sidecar in place.sidecars:
            await sidecar.end()
            for line in sidecar.log.read_text(errors="replace").splitlines()[:200]:
                place.record(sidecar.name, "logged", line=line)
        for party in place.parties:
            party.stop()
    if violations is None:
        return NOT_RUN
    for violation in violations:
        place.record("case", "rule broken", violation=violation)
    print(f"{len(violations)} violations" + "".join(f"\n  {violation}" for violation in violations[:5]))
    return BROKEN if violations else HELD
