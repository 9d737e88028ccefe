"""Random sequences of requests, disconnects, resets, endpoint lists and shutdown, over real sockets.

Each sequence is drawn from a seed.  The order in which the operating system delivers events is not
reproducible; the checks hold in any order.
"""

from __future__ import annotations

import asyncio
import gc
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    ERROR,
    FULL,
    HOST,
    OK,
    ReceivedRequest,
    SidecarHarness,
    endpoint_entry,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
)

from sidecar.downstream.connection import DownstreamConnection
from sidecar.upstream.attempt import Attempt
from sidecar.upstream.http_exchange import UpstreamConnection
from sidecar.upstream.upstream import Upstream

STEPS = 120
KINDS = ("check", "amend", "lodge")
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nser"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nser"
AMBIGUOUS = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass
class RandomClient:
    """A client on one connection, and the bytes that it has received."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sent: int = 0  # complete requests
    unsent: bytes = b""  # the rest of a partial request
    is_well_behaved: bool = True  # it sends complete requests, one at a time, and never disconnects
    has_closed_sending: bool = False
    received: bytes = b""
    reading: asyncio.Task[None] | None = None

    def send(self, data: bytes) -> None:
        transport = self.writer.transport
        if not transport.is_closing() and not self.has_closed_sending:
            self.writer.write(data)

    async def read(self) -> None:
        try:
            while piece := await self.reader.read(65_536):
                self.received += piece
        except OSError:
            pass

    @property
    def responses(self) -> int:
        return self.received.count(b"HTTP/1.1 ")

    @property
    def is_idle(self) -> bool:
        """Whether the client may send another request on its connection."""
        is_open = (
            self.reading is not None and not self.reading.done() and b"connection: close" not in self.received
        )
        return is_open and self.is_well_behaved and self.responses == self.sent and not self.unsent


@dataclass
class RandomEvents:
    """The clients and servers of one test; a random event decides when a server responds."""

    harness: SidecarHarness
    rng: random.Random
    clients: list[RandomClient] = field(default_factory=list)
    unanswered: list[tuple[ReceivedRequest, asyncio.Future[bytes | None]]] = field(default_factory=list)
    executions: Counter[str] = field(default_factory=Counter)  # by request ID, of non-idempotent requests
    states: dict[str, str] = field(default_factory=dict)
    is_finished: bool = False  # servers answer at once

    async def serve(self, heard: ReceivedRequest) -> bytes | None:
        if heard.headers.get("request-class") == "lodge":
            self.executions[heard.headers["request-id"]] += 1
        if self.is_finished:
            return OK
        answer: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self.unanswered.append((heard, answer))
        return await answer

    async def step(self) -> None:
        event = self.rng.choice(
            [
                self.send_request,
                self.send_request,
                self.send_partial_request,
                self.complete_request,
                self.disconnect,
                self.send_unexpected_bytes,
            ]
            + [self.answer] * 4
            + [self.update_list, self.exclude, self.pass_time, self.pause, self.pause]
        )
        await event()

    async def send_request(self) -> None:
        idle = [client for client in self.clients if client.is_idle]
        if idle and self.rng.random() < 0.5:
            client = self.rng.choice(idle)
        else:
            client = RandomClient(*await asyncio.open_connection(HOST, self.harness.sidecar.downstream.port))
            client.reading = asyncio.get_running_loop().create_task(client.read())
            self.clients.append(client)
        client.send(self.random_request())
        client.sent += 1

    def random_request(self) -> bytes:
        kind = self.rng.choice(KINDS)
        timeout = self.rng.choice(["0.05", "0.3", "5.0"])
        headers: dict[str, str] = {"Connection": "close"} if self.rng.random() < 0.2 else {}
        body = b"" if kind == "check" else b"x" * self.rng.choice([0, 7, 60_000])
        return request_bytes(kind, timeout=timeout, body=body, **headers)

    async def send_partial_request(self) -> None:
        client = RandomClient(*await asyncio.open_connection(HOST, self.harness.sidecar.downstream.port))
        client.reading = asyncio.get_running_loop().create_task(client.read())
        self.clients.append(client)
        message = self.random_request()
        split_at = self.rng.randrange(1, len(message))
        client.send(message[:split_at])
        client.unsent = message[split_at:]

    async def complete_request(self) -> None:
        for client in self.clients:
            if client.unsent:
                client.send(client.unsent)
                client.unsent = b""
                client.sent += 1
                return

    async def disconnect(self) -> None:
        if self.clients:
            client = self.rng.choice(self.clients)
            client.is_well_behaved = False
            kind = self.rng.choice(["close", "reset", "half-close"])
            if kind == "reset":
                client.writer.transport.abort()
            elif kind == "half-close" and not client.writer.is_closing() and not client.has_closed_sending:
                client.has_closed_sending = True
                client.writer.write_eof()
            else:
                client.writer.close()

    async def send_unexpected_bytes(self) -> None:
        """Send a pipelined request or invalid bytes."""
        if self.clients:
            client = self.rng.choice(self.clients)
            client.is_well_behaved = False
            client.send(self.rng.choice([b"x", self.random_request(), b"\r\n\r\n"]))

    async def answer(self) -> None:
        if not self.unanswered:
            return
        heard, answer = self.unanswered.pop(self.rng.randrange(len(self.unanswered)))
        if answer.done():
            return
        response = self.rng.choice(
            [OK] * 6 + [FULL, ERROR, TRUNCATED, UNFRAMED, AMBIGUOUS, INTERIM + OK, OK + OK, b""]
        )
        if response == FULL:
            self.executions[heard.headers["request-id"]] -= 1  # the server has not run it
        answer.set_result(response)
        if response in (TRUNCATED, UNFRAMED, b""):
            await asyncio.sleep(0)
            if self.rng.random() < 0.5:
                heard.writer.transport.abort()
            else:
                heard.writer.close()
        elif response == OK and self.rng.random() < 0.1:
            asyncio.get_running_loop().call_later(0.003, send_partial_status_line, heard.writer)

    async def update_list(self) -> None:
        name = f"s-{self.rng.randrange(len(self.harness.servers))}"
        state = self.rng.choice(["active", "active", "leaving", "left"])
        self.states[name] = state
        address = self.harness.servers[int(name[2:])].address
        self.harness.discovery.send_changes(
            endpoint_entry(name, address, state=state, cell=self.rng.randrange(2))
        )

    async def exclude(self) -> None:
        name = f"s-{self.rng.randrange(len(self.harness.servers))}"
        if self.rng.random() < 0.4:
            self.harness.sidecar.administration.exclude(name)
        else:
            self.harness.sidecar.administration.include(name)

    async def pass_time(self) -> None:
        """Close connections that are overdue now or within a second."""
        downstream = self.harness.sidecar.downstream
        downstream.close_overdue(asyncio.get_running_loop().time() + self.rng.choice([0.0, 1.0]))

    async def pause(self) -> None:
        if self.rng.random() < 0.2:
            await asyncio.sleep(0.01)
        for _ in range(self.rng.randrange(6)):
            await asyncio.sleep(0)


def send_partial_status_line(writer: asyncio.StreamWriter) -> None:
    """Send part of a status line on a connection without a pending request."""
    if not writer.transport.is_closing():
        writer.write(b"HTTP/1.1 20")


def record_late_writes(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Record attempts written after their limits, or to a server that is draining or excluded."""
    violations: list[str] = []
    original = Upstream._write

    def write(self: Upstream, attempt: Attempt, connection: UpstreamConnection) -> None:
        endpoint, now = self._pool.endpoints.get(attempt.server), self._clock.now()
        if endpoint is None or endpoint.is_draining or endpoint.is_excluded:
            violations.append(f"written to {attempt.server}, which is draining, excluded or not listed")
        is_late = now > min(attempt.deadline, attempt.send_by) + 50_000
        if attempt.is_ended or is_late or not attempt.is_wanted():
            violations.append("written after the limits of its attempt, or for a disconnected client")
        original(self, attempt, connection)

    monkeypatch.setattr(Upstream, "_write", write)
    return violations


def open_sockets() -> int:
    """Return the number of open sockets; the event loop opens other descriptors on demand."""
    links = list(Path("/proc/self/fd").iterdir())
    return sum(str(link.readlink()).startswith("socket:") for link in links if link.is_symlink())


@pytest.mark.parametrize("seed", range(12))
def test_random_events_leave_one_response_per_request_and_no_resources(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    violations = record_late_writes(monkeypatch)
    rng = random.Random(seed)
    bounds = {
        "mayCancel": rng.random() < 0.5,
        "secondCopies": rng.random() < 0.5,
        "sendCap": rng.choice([1, 2, 4]),
        "dialTimeoutUs": 200_000,
    }

    async def work() -> None:
        loop = asyncio.get_running_loop()
        errors: list[dict[str, Any]] = []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        gc.collect()
        sockets_before = open_sockets()
        async with running_sidecar(OK, OK, OK, bounds=bounds, has_admin_interface=seed % 2 == 0) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            events = RandomEvents(harness, rng)
            for server in harness.servers:
                server.script = events.serve
            for _ in range(STEPS):
                await events.step()
                assert harness.sidecar.unanswered_requests >= 0
                assert harness.sidecar.downstream.open_connections <= 340
            expected = {id(client): client.sent for client in events.clients if client.is_well_behaved}
            shutdown = loop.create_task(harness.sidecar.shut_down())
            while not shutdown.done():
                await events.rng.choice([events.answer, events.complete_request, events.pause])()
                await asyncio.sleep(0.001)
            events.is_finished = True
            await shutdown
            for client in events.clients:
                client.writer.close()
                assert client.reading is not None
                await client.reading
            await wait_until(lambda: harness.sidecar.downstream.is_empty)
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            for client in events.clients:
                assert client.responses <= client.sent + (not client.is_well_behaved) + bool(client.unsent), (
                    client.received
                )
                assert not client.is_well_behaved or client.responses >= expected.get(id(client), 0), (
                    client.received
                )
            assert harness.sidecar.unanswered_requests == 0
            assert not [request_id for request_id, count in events.executions.items() if count > 1]
            pool = harness.sidecar._upstream._pool
            await wait_until(lambda: not pool._endpoint_of and not pool._tasks)
            await wait_until(lambda: not harness.sidecar._discovery._tasks)
            assert not [entry for entry in harness.log if "internal" in entry]
            for _, answer in events.unanswered:
                answer.cancel()
        await wait_until(lambda: not [task for task in asyncio.all_tasks() if "/sidecar/" in repr(task)])
        gc.collect()
        await wait_until(lambda: open_sockets() <= sockets_before)
        assert not [error for error in errors if "sidecar" in repr(error) or "protocol." in error["message"]]

    run_async(work)
    assert violations == []


def test_random_events_reach_every_connection_state(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that the random events above cause all important state transitions."""
    transitions: set[tuple[str, str]] = set()
    original = DownstreamConnection._enter

    def enter(self: DownstreamConnection, state: Any) -> None:
        transitions.add((self.state.value, state.value))
        original(self, state)

    monkeypatch.setattr(DownstreamConnection, "_enter", enter)
    for seed in (0, 1, 2):
        test_random_events_leave_one_response_per_request_and_no_resources(seed, monkeypatch)
    required = {
        ("reading", "awaiting response"),
        ("awaiting response", "idle"),
        ("idle", "reading"),
        ("awaiting response", "lingering"),
        ("reading", "lingering"),
        ("lingering", "closed"),
        ("awaiting response", "closed"),
    }
    assert required <= transitions
