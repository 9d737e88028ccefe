"""A new version under load: two processes, one listening socket, and what outlives the first."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from loopback import (
    HOST,
    OK,
    Client,
    Heard,
    ScriptedDiscovery,
    ScriptedServer,
    line,
    play,
    request,
    soon,
    until,
)
from test_program import GOOD, ended, started

from sidecar.configuration import parse
from sidecar.downstream.listener import listener_from_descriptor
from sidecar.process_lock import ProcessLock
from sidecar.sidecar import Sidecar


@dataclass
class Running:
    """One process of the sidecar."""

    process: asyncio.subprocess.Process
    console: int
    log: list[str] = field(default_factory=list)

    async def line(self) -> str:
        assert self.process.stderr is not None
        return (await soon(self.process.stderr.readline())).decode()

    async def call(self, path: str, member: str) -> int:
        caller = Client(*await asyncio.open_connection(HOST, self.console))
        body = json.dumps({"member": member})
        caller.send(f"POST {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        answer = await caller.answer()
        caller.close()
        return answer.status


@dataclass
class Platform:
    """Holds the listening socket, and starts processes that share it, a folder and the configuration."""

    folder: Path
    held: socket.socket
    servers: list[ScriptedServer]
    running: list[Running] = field(default_factory=list)

    async def start(self) -> Running:
        environ = {
            "TMPDIR": str(self.folder),
            "BALANCER_SOCKET_FD": str(self.held.fileno()),
            "BALANCER_CONSOLE": f"{HOST}:0",
        }
        process = await started(self.folder / "config.json", environ, (self.held.fileno(),))
        one = Running(process, 0)
        self.running.append(one)
        while "serves on" not in (told := await one.line()):
            door = re.search(r"admin_interface_listening: .*:(\d+)", told)
            one.console = int(door[1]) if door else one.console
        return one

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(*self.held.getsockname()))


@asynccontextmanager
async def platform(folder: Path, *scripts: object) -> AsyncIterator[Platform]:
    servers = [await ScriptedServer(script).start() for script in scripts]  # type: ignore[arg-type]
    discovery = ScriptedDiscovery()
    discovery.servers = [line(f"s-{index}", each.address) for index, each in enumerate(servers)]
    await discovery.start()
    known = {"version": 1, "full": True, "servers": discovery.servers}
    with socket.socket() as held:
        held.bind((HOST, 0))
        held.listen(64)
        own = {"listen": f"{HOST}:{held.getsockname()[1]}", "discovery": discovery.address, "known": known}
        (folder / "config.json").write_text(json.dumps({**GOOD, **own}))
        scene = Platform(folder, held, servers)
        try:
            yield scene
        finally:
            for each in scene.running:
                await ended(each.process)
            for server in (*servers, discovery):
                server.stop()


def test_old_process_completes_its_requests_and_new_one_accepts(tmp_path: Path) -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: Heard) -> bytes:
            await release.wait()
            return OK

        async with platform(tmp_path, hold) as scene:
            old = await scene.start()
            taken = await scene.client()
            taken.send(request("lodge"))
            await until(lambda: len(scene.servers[0].heard) == 1)
            await scene.start()
            old.process.send_signal(signal.SIGTERM)
            assert await old.line() == "shutdown_started: draining\n"
            new = [await scene.client() for _ in range(4)]
            for client in new:
                client.send(request("lodge"))
            await until(lambda: len(scene.servers[0].heard) == 5)
            release.set()
            assert (await taken.answer()).headers["connection"] == "close"
            for client in new:
                answer = await client.answer()
                assert answer.status == 200 and "connection" not in answer.headers
            assert await soon(old.process.wait()) == 0
            assert (await (await scene.client()).ask()).status == 200  # the socket was not shut down

    play(work)


def test_exclusions_are_shared_by_both_processes(tmp_path: Path) -> None:
    async def work() -> None:
        async with platform(tmp_path, OK, OK) as scene:
            old = await scene.start()
            assert await old.call("/api/exclude", "s-0") == 200
            assert "excluded s-0" in await old.line()
            new = await scene.start()
            for _ in range(10):
                assert (await (await scene.client()).ask()).status == 200
            assert scene.servers[0].heard == []
            assert await old.call("/api/exclude", "s-1") == 200  # after the new one's start
            while "excluded s-1" not in await new.line():
                pass
            assert await new.call("/api/include", "s-0") == 200
            while "included s-0" not in await old.line():
                pass
            old.process.kill()
            await soon(old.process.wait())
            answers = [await (await scene.client()).ask("lodge") for _ in range(5)]
            assert {each.status for each in answers} == {200}
            assert len(scene.servers[0].heard) == 5

    play(work)


def test_descriptor_without_a_listening_socket_exits_with_2(tmp_path: Path) -> None:
    async def work() -> None:
        (tmp_path / "config.json").write_text(json.dumps(GOOD))
        idle = socket.socket()
        datagram = socket.socket(type=socket.SOCK_DGRAM)
        with idle, datagram, (tmp_path / "file").open("wb") as file:
            for number in (idle.fileno(), datagram.fileno(), file.fileno(), 987, "five"):
                environ = {"BALANCER_SOCKET_FD": str(number)}
                passed = (number,) if isinstance(number, int) and number != 987 else ()
                process = await started(tmp_path / "config.json", environ, passed)
                _, told = await soon(process.communicate())
                assert process.returncode == 2
                assert told.startswith(b"sidecar: config: BALANCER_SOCKET_FD: ") and told.count(b"\n") == 1

    play(work)


def test_inherited_socket_is_used_as_it_is() -> None:
    with socket.socket() as held:
        held.bind((HOST, 0))
        held.listen(1)
        taken = listener_from_descriptor(os.dup(held.fileno()))
        assert taken.getsockname() == held.getsockname()
        taken.close()
        with pytest.raises(ValueError, match="descriptor"):
            listener_from_descriptor(10**9)


def test_two_processes_divide_the_sockets_and_one_has_them_all(tmp_path: Path) -> None:
    async def work() -> None:
        given = {**GOOD, "limits": {"sockets": 160, "memory_mb": 64}}
        with socket.socket() as held:
            held.bind((HOST, 0))
            held.listen(64)
            other = ProcessLock(tmp_path, print, "other")
            config = parse(given, {"TMPDIR": str(tmp_path)})
            sidecar = Sidecar(config, print, listener_from_descriptor(os.dup(held.fileno())))
            await sidecar.start()
            assert (sidecar.downstream._max_connections, sidecar._upstream._pool._max_connections) == (53, 29)
            other.close()
            await until(lambda: sidecar._hot_restart.is_alone)
            assert (sidecar.downstream._max_connections, sidecar._upstream._pool._max_connections) == (53, 59)
            other = ProcessLock(tmp_path, print, "other")
            await until(lambda: not sidecar._hot_restart.is_alone)
            assert (sidecar.downstream._max_connections, sidecar._upstream._pool._max_connections) == (53, 29)
            other.close()
            sidecar.close()

    play(work)
