"""Random sequences of requests, disconnects, resets, endpoint lists and shutdown, over real sockets.

Each sequence is drawn from its seed.  The order in which the system delivers events is not, and need not be:
what is checked holds in any order.
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
    """A client on one connection, and all that it has received."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sent: int = 0  # complete requests
    unsent: bytes = b""  # the rest of a partial request
    is_well_behaved: bool = True  # it sends complete requests, one at a time, and stays
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
        """Whether it may ask again on its connection, as far as it knows."""
        is_open = (
            self.reading is not None and not self.reading.done() and b"connection: close" not in self.received
        )
        return is_open and self.is_well_behaved and self.responses == self.sent and not self.unsent


@dataclass
class RandomEvents:
    """The clients and servers of one stage; servers respond when a random event says so."""

    harness: SidecarHarness
    rng: random.Random
    clients: list[RandomClient] = field(default_factory=list)
    unanswered: list[tuple[ReceivedRequest, asyncio.Future[bytes | None]]] = field(default_factory=list)
    # By request ID, of requests that may not run twice.
    executions: Counter[str] = field(default_factory=Counter)
    states: dict[str, str] = field(default_factory=dict)
    is_over: bool = False

    async def serve(self, heard: ReceivedRequest) -> bytes | None:
        if heard.headers.get("request-class") == "lodge":
            self.executions[heard.headers["request-id"]] += 1
        if self.is_over:
            return OK
        answer: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self.unanswered.append((heard, answer))
        return await answer

    async def step(self) -> None:
        act = self.rng.choice(
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
        await act()

    async def send_request(self) -> None:
        idle = [each for each in self.clients if each.is_idle]
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
        further: dict[str, str] = {"Connection": "close"} if self.rng.random() < 0.2 else {}
        body = b"" if kind == "check" else b"x" * self.rng.choice([0, 7, 60_000])
        return request_bytes(kind, timeout=timeout, body=body, **further)

    async def send_partial_request(self) -> None:
        client = RandomClient(*await asyncio.open_connection(HOST, self.harness.sidecar.downstream.port))
        client.reading = asyncio.get_running_loop().create_task(client.read())
        self.clients.append(client)
        whole = self.random_request()
        cut = self.rng.randrange(1, len(whole))
        client.send(whole[:cut])
        client.unsent = whole[cut:]

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
            how = self.rng.choice(["end", "reset", "half"])
            if how == "reset":
                client.writer.transport.abort()
            elif how == "half" and not client.writer.is_closing() and not client.has_closed_sending:
                client.has_closed_sending = True
                client.writer.write_eof()
            else:
                client.writer.close()

    async def send_unexpected_bytes(self) -> None:
        """More than one request at a time, or nonsense."""
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
        how = self.rng.choice(
            [OK] * 6 + [FULL, ERROR, TRUNCATED, UNFRAMED, AMBIGUOUS, INTERIM + OK, OK + OK, b""]
        )
        if how == FULL:
            self.executions[heard.headers["request-id"]] -= 1  # it says that it never ran
        answer.set_result(how)
        if how in (TRUNCATED, UNFRAMED, b""):
            await asyncio.sleep(0)
            if self.rng.random() < 0.5:
                heard.writer.transport.abort()
            else:
                heard.writer.close()
        elif how == OK and self.rng.random() < 0.1:
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
        """Those whose time is up by now go."""
        downstream = self.harness.sidecar.downstream
        downstream.close_overdue(asyncio.get_running_loop().time() + self.rng.choice([0.0, 1.0]))

    async def pause(self) -> None:
        if self.rng.random() < 0.2:
            await asyncio.sleep(0.01)
        for _ in range(self.rng.randrange(6)):
            await asyncio.sleep(0)


def send_partial_status_line(writer: asyncio.StreamWriter) -> None:
    """Half a status line on a connection that is answered."""
    if not writer.transport.is_closing():
        writer.write(b"HTTP/1.1 20")


def watch_the_guard(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Record what is written after a limit of its attempt, or to a server that is draining or excluded."""
    faults: list[str] = []
    plain = Upstream._write

    def write(self: Upstream, attempt: Attempt, connection: UpstreamConnection) -> None:
        endpoint, now = self._pool.endpoints.get(attempt.server), self._clock.now()
        if endpoint is None or endpoint.is_draining or endpoint.is_excluded:
            faults.append(f"to {attempt.server}, which is not wanted")
        is_late = now > min(attempt.deadline, attempt.send_by) + 50_000
        if attempt.is_ended or is_late or not attempt.is_wanted():
            faults.append("after its time, or for nobody")
        plain(self, attempt, connection)

    monkeypatch.setattr(Upstream, "_write", write)
    return faults


def sockets() -> int:
    """How many this process holds; the event loop opens what else it needs when it comes to it."""
    links = list(Path("/proc/self/fd").iterdir())
    return sum(str(link.readlink()).startswith("socket:") for link in links if link.is_symlink())


@pytest.mark.parametrize("seed", range(12))
def test_random_events_leave_one_response_per_request_and_no_resources(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    faults = watch_the_guard(monkeypatch)
    rng = random.Random(seed)
    bounds = {
        "mayCancel": rng.random() < 0.5,
        "secondCopies": rng.random() < 0.5,
        "sendCap": rng.choice([1, 2, 4]),
        "dialTimeoutUs": 200_000,
    }

    async def work() -> None:
        loop = asyncio.get_running_loop()
        internal: list[dict[str, Any]] = []
        loop.set_exception_handler(lambda _, context: internal.append(context))
        gc.collect()
        before = sockets()
        async with running_sidecar(OK, OK, OK, bounds=bounds, has_admin_interface=seed % 2 == 0) as harness:
            await wait_until(lambda: len(harness.discovery.requests) >= 2)
            events = RandomEvents(harness, rng)
            for server in harness.servers:
                server.script = events.serve
            for _ in range(STEPS):
                await events.step()
                assert harness.sidecar.unanswered_requests >= 0
                assert harness.sidecar.downstream.open_connections <= 340
            owed = {id(each): each.sent for each in events.clients if each.is_well_behaved}
            draining = loop.create_task(harness.sidecar.shut_down())
            while not draining.done():
                await events.rng.choice([events.answer, events.complete_request, events.pause])()
                await asyncio.sleep(0.001)
            events.is_over = True
            await draining
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
                assert not client.is_well_behaved or client.responses >= owed.get(id(client), 0), (
                    client.received
                )
            assert harness.sidecar.unanswered_requests == 0
            assert not [each for each, count in events.executions.items() if count > 1]
            pool = harness.sidecar._upstream._pool
            await wait_until(lambda: not pool._endpoint_of and not pool._tasks)
            await wait_until(lambda: not harness.sidecar._discovery._tasks)
            assert not [each for each in harness.log if "internal" in each]
            for _, answer in events.unanswered:
                answer.cancel()
        await wait_until(lambda: not [each for each in asyncio.all_tasks() if "/sidecar/" in repr(each)])
        gc.collect()
        await wait_until(lambda: sockets() <= before)
        assert not [each for each in internal if "sidecar" in repr(each) or "protocol." in each["message"]]

    run_async(work)
    assert faults == []


def test_random_events_reach_every_connection_state(monkeypatch: pytest.MonkeyPatch) -> None:
    """The test above would prove little if it met a few of the states only."""
    seen: set[tuple[str, str]] = set()
    plain = DownstreamConnection._enter

    def enter(self: DownstreamConnection, state: Any) -> None:
        seen.add((self.state.value, state.value))
        plain(self, state)

    monkeypatch.setattr(DownstreamConnection, "_enter", enter)
    for seed in (0, 1, 2):
        test_random_events_leave_one_response_per_request_and_no_resources(seed, monkeypatch)
    wanted = {
        ("reading", "awaiting response"),
        ("awaiting response", "idle"),
        ("idle", "reading"),
        ("awaiting response", "lingering"),
        ("reading", "lingering"),
        ("lingering", "closed"),
        ("awaiting response", "closed"),
    }
    assert wanted <= seen
