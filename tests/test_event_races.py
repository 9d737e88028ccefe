"""Any order of what may happen round a sidecar, over real sockets: requests, ends, resets, lists, SIGTERM.

Each play is drawn from its seed; the order in which the system hands events on is not, and needs not be: what
is checked holds in any order.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import pytest
from loopback import ERROR, FULL, HOST, OK, Heard, Stage, line, play, request, stage, until

from sidecar.downstream.connection import DownstreamConnection
from sidecar.upstream.attempt import Attempt
from sidecar.upstream.http_exchange import UpstreamConnection
from sidecar.upstream.upstream import Upstream

STEPS = 120
KINDS = ("check", "amend", "lodge")
CUT = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nser"
ENDLESS = b"HTTP/1.1 200 OK\r\n\r\nser"
SPOILT = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass
class Asker:
    """A client on one connection: what it sent, and what came back until the end."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sent: int = 0  # requests, whole
    rest: bytes = b""  # of one that is half sent
    is_legal: bool = True  # it sent no more than one request at a time, whole, and stays
    has_ended: bool = False  # its sending, at least
    got: bytes = b""
    reading: asyncio.Task[None] | None = None

    def send(self, data: bytes) -> None:
        transport = self.writer.transport
        if not transport.is_closing() and not self.has_ended:
            self.writer.write(data)

    async def read(self) -> None:
        try:
            while piece := await self.reader.read(65_536):
                self.got += piece
        except OSError:
            pass

    @property
    def answers(self) -> int:
        return self.got.count(b"HTTP/1.1 ")

    @property
    def is_idle(self) -> bool:
        """Whether it may ask again on its connection, as far as it knows."""
        is_open = (
            self.reading is not None and not self.reading.done() and b"connection: close" not in self.got
        )
        return is_open and self.is_legal and self.answers == self.sent and not self.rest


@dataclass
class Play:
    """One play: a stage, its clients, and servers that answer when the play says so."""

    scene: Stage
    chance: random.Random
    askers: list[Asker] = field(default_factory=list)
    held: list[tuple[Heard, asyncio.Future[bytes | None]]] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)  # by request id, of those that may not run twice
    states: dict[str, str] = field(default_factory=dict)
    is_over: bool = False

    async def serve(self, heard: Heard) -> bytes | None:
        if heard.headers.get("request-class") == "lodge":
            self.runs[heard.headers["request-id"]] += 1
        if self.is_over:
            return OK
        answer: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self.held.append((heard, answer))
        return await answer

    async def step(self) -> None:
        act = self.chance.choice(
            [self.ask, self.ask, self.ask_half, self.go_on, self.leave, self.interrupt]
            + [self.answer] * 4
            + [self.tell, self.exclude, self.hurry, self.pause, self.pause]
        )
        await act()

    async def ask(self) -> None:
        idle = [each for each in self.askers if each.is_idle]
        if idle and self.chance.random() < 0.5:
            asker = self.chance.choice(idle)
        else:
            asker = Asker(*await asyncio.open_connection(HOST, self.scene.sidecar.downstream.port))
            asker.reading = asyncio.get_running_loop().create_task(asker.read())
            self.askers.append(asker)
        asker.send(self.worded())
        asker.sent += 1

    def worded(self) -> bytes:
        kind = self.chance.choice(KINDS)
        timeout = self.chance.choice(["0.05", "0.3", "5.0"])
        further: dict[str, str] = {"Connection": "close"} if self.chance.random() < 0.2 else {}
        body = b"" if kind == "check" else b"x" * self.chance.choice([0, 7, 60_000])
        return request(kind, timeout=timeout, body=body, **further)

    async def ask_half(self) -> None:
        asker = Asker(*await asyncio.open_connection(HOST, self.scene.sidecar.downstream.port))
        asker.reading = asyncio.get_running_loop().create_task(asker.read())
        self.askers.append(asker)
        whole = self.worded()
        cut = self.chance.randrange(1, len(whole))
        asker.send(whole[:cut])
        asker.rest = whole[cut:]

    async def go_on(self) -> None:
        for asker in self.askers:
            if asker.rest:
                asker.send(asker.rest)
                asker.rest = b""
                asker.sent += 1
                return

    async def leave(self) -> None:
        if self.askers:
            asker = self.chance.choice(self.askers)
            asker.is_legal = False
            how = self.chance.choice(["end", "reset", "half"])
            if how == "reset":
                asker.writer.transport.abort()
            elif how == "half" and not asker.writer.is_closing() and not asker.has_ended:
                asker.has_ended = True
                asker.writer.write_eof()
            else:
                asker.writer.close()

    async def interrupt(self) -> None:
        """More than one request at a time, or nonsense."""
        if self.askers:
            asker = self.chance.choice(self.askers)
            asker.is_legal = False
            asker.send(self.chance.choice([b"x", self.worded(), b"\r\n\r\n"]))

    async def answer(self) -> None:
        if not self.held:
            return
        heard, answer = self.held.pop(self.chance.randrange(len(self.held)))
        if answer.done():
            return
        how = self.chance.choice([OK] * 6 + [FULL, ERROR, CUT, ENDLESS, SPOILT, INTERIM + OK, OK + OK, b""])
        if how == FULL:
            self.runs[heard.headers["request-id"]] -= 1  # it says that it never ran
        answer.set_result(how)
        if how in (CUT, ENDLESS, b""):
            await asyncio.sleep(0)
            if self.chance.random() < 0.5:
                heard.writer.transport.abort()
            else:
                heard.writer.close()
        elif how == OK and self.chance.random() < 0.1:
            asyncio.get_running_loop().call_later(0.003, interrupt, heard.writer)

    async def tell(self) -> None:
        name = f"s-{self.chance.randrange(len(self.scene.servers))}"
        state = self.chance.choice(["active", "active", "leaving", "left"])
        self.states[name] = state
        address = self.scene.servers[int(name[2:])].address
        self.scene.discovery.tell(line(name, address, state=state, cell=self.chance.randrange(2)))

    async def exclude(self) -> None:
        name = f"s-{self.chance.randrange(len(self.scene.servers))}"
        if self.chance.random() < 0.4:
            self.scene.sidecar.administration.exclude(name)
        else:
            self.scene.sidecar.administration.include(name)

    async def hurry(self) -> None:
        """Those whose time is up by now go."""
        downstream = self.scene.sidecar.downstream
        downstream.close_overdue(asyncio.get_running_loop().time() + self.chance.choice([0.0, 1.0]))

    async def pause(self) -> None:
        if self.chance.random() < 0.2:
            await asyncio.sleep(0.01)
        for _ in range(self.chance.randrange(6)):
            await asyncio.sleep(0)


def interrupt(writer: asyncio.StreamWriter) -> None:
    """Half a status line on a connection that is answered."""
    if not writer.transport.is_closing():
        writer.write(b"HTTP/1.1 20")


def watch_the_guard(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Note what is written against a limit that its call carries, or to a server that is not wanted."""
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
    links = (os.path.join("/proc/self/fd", each) for each in os.listdir("/proc/self/fd"))
    return sum(os.readlink(each).startswith("socket:") for each in links if os.path.lexists(each))


@pytest.mark.parametrize("seed", range(12))
def test_random_events_leave_one_response_per_request_and_no_resources(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    against = watch_the_guard(monkeypatch)
    chance = random.Random(seed)
    bounds = {
        "mayCancel": chance.random() < 0.5,
        "secondCopies": chance.random() < 0.5,
        "sendCap": chance.choice([1, 2, 4]),
        "dialTimeoutUs": 200_000,
    }

    async def work() -> None:
        loop = asyncio.get_running_loop()
        internal: list[dict[str, Any]] = []
        loop.set_exception_handler(lambda _, what: internal.append(what))
        gc.collect()
        before = sockets()
        async with stage(OK, OK, OK, bounds=bounds, console=seed % 2 == 0) as scene:
            await until(lambda: len(scene.discovery.heard) >= 2)
            here = Play(scene, chance)
            for server in scene.servers:
                server.script = here.serve
            for _ in range(STEPS):
                await here.step()
                assert scene.sidecar.unanswered_requests >= 0
                assert scene.sidecar.downstream.open_connections <= 340
            owed = {id(each): each.sent for each in here.askers if each.is_legal}
            draining = loop.create_task(scene.sidecar.shut_down())
            while not draining.done():
                await here.chance.choice([here.answer, here.go_on, here.pause])()
                await asyncio.sleep(0.001)
            here.is_over = True
            await draining
            for asker in here.askers:
                asker.writer.close()
                assert asker.reading is not None
                await asker.reading
            await until(lambda: scene.sidecar.downstream.is_empty)
            await until(lambda: scene.sidecar.open_requests == 0)
            for asker in here.askers:
                assert asker.answers <= asker.sent + (not asker.is_legal) + bool(asker.rest), asker.got
                assert not asker.is_legal or asker.answers >= owed.get(id(asker), 0), asker.got
            assert scene.sidecar.unanswered_requests == 0
            assert not [each for each, count in here.runs.items() if count > 1]
            pool = scene.sidecar._upstream._pool
            await until(lambda: not pool._endpoint_of and not pool._tasks)
            await until(lambda: not scene.sidecar._discovery._tasks)
            assert not [each for each in scene.log if "internal" in each]
            for _, answer in here.held:
                answer.cancel()
        await until(lambda: not [each for each in asyncio.all_tasks() if "/sidecar/" in repr(each)])
        gc.collect()
        await until(lambda: sockets() <= before)
        assert not [each for each in internal if "sidecar" in repr(each) or "protocol." in each["message"]]

    play(work)
    assert against == []


def test_random_events_reach_every_connection_state(monkeypatch: pytest.MonkeyPatch) -> None:
    """The plays above would prove little of a table of which they see a corner."""
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
