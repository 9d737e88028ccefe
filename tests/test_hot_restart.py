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
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint_entry,
    request_bytes,
    run_async,
    wait_until,
    within_timeout,
)
from test_program import VALID_CONFIGURATION, kill_program, start_program

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

    async def read_log_line(self) -> str:
        assert self.process.stderr is not None
        return (await within_timeout(self.process.stderr.readline())).decode()

    async def call(self, path: str, member: str) -> int:
        caller = Client(*await asyncio.open_connection(HOST, self.console))
        body = json.dumps({"member": member})
        caller.send(f"POST {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        answer = await caller.read_response()
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
        process = await start_program(self.folder / "config.json", environ, (self.held.fileno(),))
        one = Running(process, 0)
        self.running.append(one)
        while "serves on" not in (told := await one.read_log_line()):
            door = re.search(r"admin_interface_listening: .*:(\d+)", told)
            one.console = int(door[1]) if door else one.console
        return one

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(*self.held.getsockname()))


@asynccontextmanager
async def platform(folder: Path, *scripts: object) -> AsyncIterator[Platform]:
    servers = [await ScriptedServer(script).start() for script in scripts]  # type: ignore[arg-type]
    discovery = ScriptedDiscovery()
    discovery.servers = [endpoint_entry(f"s-{index}", each.address) for index, each in enumerate(servers)]
    await discovery.start()
    known = {"version": 1, "full": True, "servers": discovery.servers}
    with socket.socket() as held:
        held.bind((HOST, 0))
        held.listen(64)
        own = {"listen": f"{HOST}:{held.getsockname()[1]}", "discovery": discovery.address, "known": known}
        (folder / "config.json").write_text(json.dumps({**VALID_CONFIGURATION, **own}))
        scene = Platform(folder, held, servers)
        try:
            yield scene
        finally:
            for each in scene.running:
                await kill_program(each.process)
            for server in (*servers, discovery):
                server.stop()


def test_old_process_completes_its_requests_and_new_one_accepts(tmp_path: Path) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def hold(request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with platform(tmp_path, hold) as scene:
            old = await scene.start()
            taken = await scene.client()
            taken.send(request_bytes("lodge"))
            await wait_until(lambda: len(scene.servers[0].requests) == 1)
            await scene.start()
            old.process.send_signal(signal.SIGTERM)
            assert await old.read_log_line() == "shutdown_started: draining\n"
            new = [await scene.client() for _ in range(4)]
            for client in new:
                client.send(request_bytes("lodge"))
            await wait_until(lambda: len(scene.servers[0].requests) == 5)
            release.set()
            assert (await taken.read_response()).headers["connection"] == "close"
            for client in new:
                answer = await client.read_response()
                assert answer.status == 200 and "connection" not in answer.headers
            assert await within_timeout(old.process.wait()) == 0
            assert (await (await scene.client()).request()).status == 200  # the socket was not shut down

    run_async(main)


def test_exclusions_are_shared_by_both_processes(tmp_path: Path) -> None:
    async def main() -> None:
        async with platform(tmp_path, OK, OK) as scene:
            old = await scene.start()
            assert await old.call("/api/exclude", "s-0") == 200
            assert "excluded s-0" in await old.read_log_line()
            new = await scene.start()
            for _ in range(10):
                assert (await (await scene.client()).request()).status == 200
            assert scene.servers[0].requests == []
            assert await old.call("/api/exclude", "s-1") == 200  # after the new one's start
            while "excluded s-1" not in await new.read_log_line():
                pass
            assert await new.call("/api/include", "s-0") == 200
            while "included s-0" not in await old.read_log_line():
                pass
            old.process.kill()
            await within_timeout(old.process.wait())
            answers = [await (await scene.client()).request("lodge") for _ in range(5)]
            assert {each.status for each in answers} == {200}
            assert len(scene.servers[0].requests) == 5

    run_async(main)


def test_descriptor_without_a_listening_socket_exits_with_2(tmp_path: Path) -> None:
    async def main() -> None:
        (tmp_path / "config.json").write_text(json.dumps(VALID_CONFIGURATION))
        idle = socket.socket()
        datagram = socket.socket(type=socket.SOCK_DGRAM)
        with idle, datagram, (tmp_path / "file").open("wb") as file:
            for number in (idle.fileno(), datagram.fileno(), file.fileno(), 987, "five"):
                environ = {"BALANCER_SOCKET_FD": str(number)}
                passed = (number,) if isinstance(number, int) and number != 987 else ()
                process = await start_program(tmp_path / "config.json", environ, passed)
                _, told = await within_timeout(process.communicate())
                assert process.returncode == 2
                assert told.startswith(b"sidecar: config: BALANCER_SOCKET_FD: ") and told.count(b"\n") == 1

    run_async(main)


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
    async def main() -> None:
        given = {**VALID_CONFIGURATION, "limits": {"sockets": 160, "memory_mb": 64}}
        with socket.socket() as held:
            held.bind((HOST, 0))
            held.listen(64)
            other = ProcessLock(tmp_path, print, "other")
            config = parse(given, {"TMPDIR": str(tmp_path)})
            sidecar = Sidecar(config, print, listener_from_descriptor(os.dup(held.fileno())))
            await sidecar.start()
            assert (sidecar.downstream._max_connections, sidecar._upstream._pool._max_connections) == (53, 29)
            other.close()
            await wait_until(lambda: sidecar._hot_restart.is_only_process)
            assert (sidecar.downstream._max_connections, sidecar._upstream._pool._max_connections) == (53, 59)
            other = ProcessLock(tmp_path, print, "other")
            await wait_until(lambda: not sidecar._hot_restart.is_only_process)
            assert (sidecar.downstream._max_connections, sidecar._upstream._pool._max_connections) == (53, 29)
            other.close()
            sidecar.close()

    run_async(main)
