"""Hot restarts: two processes that share a listening socket, exclusions and the limit of sockets."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing
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
class SidecarProcess:
    """A process of the sidecar, and the port of its admin interface."""

    system_process: asyncio.subprocess.Process
    admin_port: int

    async def read_log_line(self) -> str:
        assert self.system_process.stderr is not None
        return (await within_timeout(self.system_process.stderr.readline())).decode()

    async def admin_request(self, path: str, member: str) -> int:
        client = Client(*await asyncio.open_connection(HOST, self.admin_port))
        body = json.dumps({"member": member})
        client.send(f"POST {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        response = await client.read_response()
        client.close()
        return response.status


@dataclass
class Platform:
    """Holds a listening socket, and starts processes that share it and a state directory."""

    directory: Path
    listener: socket.socket
    servers: list[ScriptedServer]
    processes: list[SidecarProcess] = field(default_factory=list)

    async def start(self) -> SidecarProcess:
        environment = {
            "TMPDIR": str(self.directory),
            "BALANCER_SOCKET_FD": str(self.listener.fileno()),
            "BALANCER_CONSOLE": f"{HOST}:0",
        }
        system_process = await start_program(
            self.directory / "config.json", environment, (self.listener.fileno(),)
        )
        process = SidecarProcess(system_process, 0)
        self.processes.append(process)
        while "serves on" not in (log_line := await process.read_log_line()):
            match = re.search(r"admin_interface_listening: .*:(\d+)", log_line)
            process.admin_port = int(match[1]) if match else process.admin_port
        return process

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(*self.listener.getsockname()))


@asynccontextmanager
async def running_platform(directory: Path, *scripts: object) -> AsyncIterator[Platform]:
    servers = [await ScriptedServer(script).start() for script in scripts]  # type: ignore[arg-type]
    discovery = ScriptedDiscovery()
    discovery.servers = [endpoint_entry(f"s-{index}", server.address) for index, server in enumerate(servers)]
    await discovery.start()
    known = {"version": 1, "full": True, "servers": discovery.servers}
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen(64)
        changes = {
            "listen": f"{HOST}:{listener.getsockname()[1]}",
            "discovery": discovery.address,
            "known": known,
        }
        (directory / "config.json").write_text(json.dumps({**VALID_CONFIGURATION, **changes}))
        platform = Platform(directory, listener, servers)
        try:
            yield platform
        finally:
            for process in platform.processes:
                await kill_program(process.system_process)
            for server in (*servers, discovery):
                server.stop()


@asynccontextmanager
async def two_sidecars(directory: Path) -> AsyncIterator[tuple[Sidecar, Sidecar]]:
    """Run the components of two processes of one sidecar, as in a hot restart, in this process."""
    servers = [endpoint_entry(f"s-{index}", f"{HOST}:9") for index in range(3)]
    known = {"version": 1, "full": True, "servers": servers}
    document = {**VALID_CONFIGURATION, "known": known, "console": f"{HOST}:0"}
    configuration = parse(document, {"TMPDIR": str(directory)})
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen(64)
        old, new = (
            Sidecar(configuration, print, listener_from_descriptor(os.dup(listener.fileno())))
            for _ in range(2)
        )
        with closing(old), closing(new):
            await old.start()
            await new.start()
            yield old, new


def excluded_servers(sidecar: Sidecar) -> frozenset[str]:
    return sidecar._upstream.excluded


def test_old_process_completes_its_requests_and_new_one_accepts(tmp_path: Path) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def respond_on_release(request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_platform(tmp_path, respond_on_release) as platform:
            old_process = await platform.start()
            old_client = await platform.client()
            old_client.send(request_bytes("lodge"))
            await wait_until(lambda: len(platform.servers[0].requests) == 1)
            await platform.start()
            old_process.system_process.send_signal(signal.SIGTERM)
            assert await old_process.read_log_line() == "shutdown_started: draining\n"
            new_clients = [await platform.client() for _ in range(4)]
            for client in new_clients:
                client.send(request_bytes("lodge"))
            await wait_until(lambda: len(platform.servers[0].requests) == 5)
            release.set()
            assert (await old_client.read_response()).headers["connection"] == "close"
            for client in new_clients:
                response = await client.read_response()
                assert response.status == 200 and "connection" not in response.headers
            assert await within_timeout(old_process.system_process.wait()) == 0
            # The shared listening socket was not shut down.
            assert (await (await platform.client()).request()).status == 200

    run_async(main)


def test_exclusions_are_shared_by_both_processes(tmp_path: Path) -> None:
    async def main() -> None:
        async with running_platform(tmp_path, OK, OK) as platform:
            old_process = await platform.start()
            assert await old_process.admin_request("/api/exclude", "s-0") == 200
            assert "excluded s-0" in await old_process.read_log_line()
            new_process = await platform.start()
            for _ in range(10):
                assert (await (await platform.client()).request()).status == 200
            assert platform.servers[0].requests == []
            # After the new process has started:
            assert await old_process.admin_request("/api/exclude", "s-1") == 200
            while "excluded s-1" not in await new_process.read_log_line():
                pass
            assert await new_process.admin_request("/api/include", "s-0") == 200
            while "included s-0" not in await old_process.read_log_line():
                pass
            old_process.system_process.kill()
            await within_timeout(old_process.system_process.wait())
            responses = [await (await platform.client()).request("lodge") for _ in range(5)]
            assert {response.status for response in responses} == {200}
            assert len(platform.servers[0].requests) == 5

    run_async(main)


def test_calls_at_both_processes_at_once_hold_in_both(tmp_path: Path) -> None:
    # Guards against a process that misses the change of the other, because it wrote the file right after it.
    async def main() -> None:
        async with two_sidecars(tmp_path) as (old, new):
            # Neither process polls the file between its own call and the other's.
            assert old.administration.exclude("s-0")
            assert new.administration.exclude("s-1")
            assert excluded_servers(new) == {"s-0", "s-1"}
            await wait_until(lambda: excluded_servers(old) == {"s-0", "s-1"})
            assert new.administration.metrics()["members_unavailable"] == 2  # in the balancer as well
            assert new.administration.include("s-0")
            assert old.administration.exclude("s-2")
            assert excluded_servers(old) == {"s-1", "s-2"}
            await wait_until(lambda: excluded_servers(new) == {"s-1", "s-2"})
            assert old.administration.metrics()["members_unavailable"] == 2

    run_async(main)


def test_exclusion_that_could_not_be_written_outlasts_a_change_by_the_other_process(tmp_path: Path) -> None:
    # Guards against a process that includes a server again, because the file that it follows never had it.
    async def main() -> None:
        async with two_sidecars(tmp_path) as (old, new):
            lock_path = tmp_path / "excluded.lock"
            lock_path.mkdir()  # can't be opened for writing
            assert old.administration.exclude("s-0")
            lock_path.rmdir()
            assert new.administration.exclude("s-1")
            await wait_until(lambda: "s-1" in excluded_servers(old))
            assert excluded_servers(old) == {"s-0", "s-1"}
            assert old.administration.exclude(
                "s-2"
            )  # a change that can be written writes the earlier one, too
            await wait_until(lambda: excluded_servers(new) == {"s-0", "s-1", "s-2"})
            assert new.administration.include("s-0")
            await wait_until(lambda: excluded_servers(old) == {"s-1", "s-2"})

    run_async(main)


def test_descriptor_that_is_no_listening_socket_exits_with_2(tmp_path: Path) -> None:
    async def main() -> None:
        (tmp_path / "config.json").write_text(json.dumps(VALID_CONFIGURATION))
        unbound_socket = socket.socket()
        udp_socket = socket.socket(type=socket.SOCK_DGRAM)
        with unbound_socket, udp_socket, (tmp_path / "file").open("wb") as file:
            for descriptor in (unbound_socket.fileno(), udp_socket.fileno(), file.fileno(), 987, "five"):
                environment = {"BALANCER_SOCKET_FD": str(descriptor)}
                passed_descriptors = (
                    (descriptor,) if isinstance(descriptor, int) and descriptor != 987 else ()
                )
                process = await start_program(tmp_path / "config.json", environment, passed_descriptors)
                _, stderr = await within_timeout(process.communicate())
                assert process.returncode == 2
                assert (
                    stderr.startswith(b"sidecar: config: BALANCER_SOCKET_FD: ") and stderr.count(b"\n") == 1
                )

    run_async(main)


def test_inherited_listening_socket_is_used_unchanged() -> None:
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen(1)
        inherited = listener_from_descriptor(os.dup(listener.fileno()))
        assert inherited.getsockname() == listener.getsockname()
        inherited.close()
        with pytest.raises(ValueError, match="descriptor"):
            listener_from_descriptor(10**9)


def test_two_processes_divide_the_upstream_connections_and_one_has_all(tmp_path: Path) -> None:
    async def main() -> None:
        document = {**VALID_CONFIGURATION, "limits": {"sockets": 160, "memory_mb": 64}}
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen(64)
            other_lock = ProcessLock(tmp_path, print, "other")
            configuration = parse(document, {"TMPDIR": str(tmp_path)})
            sidecar = Sidecar(configuration, print, listener_from_descriptor(os.dup(listener.fileno())))
            await sidecar.start()
            assert (sidecar.downstream._max_connections, sidecar._upstream._pool._max_connections) == (53, 29)
            other_lock.close()
            await wait_until(lambda: sidecar._hot_restart.is_only_process)
            assert (sidecar.downstream._max_connections, sidecar._upstream._pool._max_connections) == (53, 59)
            other_lock = ProcessLock(tmp_path, print, "other")
            await wait_until(lambda: not sidecar._hot_restart.is_only_process)
            assert (sidecar.downstream._max_connections, sidecar._upstream._pool._max_connections) == (53, 29)
            other_lock.close()
            sidecar.close()

    run_async(main)
