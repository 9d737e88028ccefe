"""The deployed program: configuration, graceful shutdown and exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    HOST,
    OK,
    SERVICE_CLASSES,
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

ROOT = Path(__file__).parent.parent
VALID_CONFIGURATION: dict[str, Any] = {
    "name": "n0",
    "listen": f"{HOST}:0",
    "discovery": f"{HOST}:9",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"version": 1, "full": True, "servers": []},
    "settings": {"lanes": SERVICE_CLASSES, "zone": "a", "discovery": "on_request"},
}


def _configuration_without(key: str) -> dict[str, Any]:
    return {name: value for name, value in VALID_CONFIGURATION.items() if name != key}


@pytest.mark.parametrize(
    ("content", "key"),
    [
        ("", "BALANCER_CONFIG"),
        ("[1]", "BALANCER_CONFIG"),
        (_configuration_without("name"), "name"),
        ({**VALID_CONFIGURATION, "listen": "localhost:80"}, "listen"),
        ({**VALID_CONFIGURATION, "discovery": 5}, "discovery"),
        ({**VALID_CONFIGURATION, "seed": "xyz"}, "seed"),
        ({**VALID_CONFIGURATION, "limits": {"sockets": 3}}, "limits.sockets"),
        ({**VALID_CONFIGURATION, "known": {"version": 1}}, "known: full"),
        ({**VALID_CONFIGURATION, "peers": ["nowhere"]}, "peers[0]"),
        ({**VALID_CONFIGURATION, "peer_listen": "x"}, "peer_listen"),
        ({**VALID_CONFIGURATION, "console": "nowhere"}, "console"),
        (_configuration_without("settings"), "settings"),
        ({**VALID_CONFIGURATION, "settings": {"lanes": []}}, "settings.lanes"),
        (
            {**VALID_CONFIGURATION, "settings": {"lanes": SERVICE_CLASSES, "bounds": {"sendCap": "x"}}},
            "settings.bounds.sendCap",
        ),
    ],
    ids=str,
)
def test_invalid_configuration_is_reported_on_one_line_with_its_key(
    content: object, key: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    result = subprocess.run(
        [sys.executable, "-m", "sidecar"],
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 2
    assert result.stdout == "" and result.stderr.count("\n") == 1
    assert result.stderr.startswith(f"sidecar: config: {key}")


class RunningProgram:
    """A running sidecar program with one server."""

    def __init__(self, process: asyncio.subprocess.Process, port: int, server: ScriptedServer) -> None:
        self.process, self.port, self.server = process, port, server

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(HOST, self.port))


async def start_program(
    configuration_path: Path,
    environment: dict[str, str] | None = None,
    descriptors: tuple[int, ...] = (),
    log: int = subprocess.PIPE,
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sidecar",
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(configuration_path), **(environment or {})},
        stderr=log,
        pass_fds=descriptors,
    )


async def kill_program(process: asyncio.subprocess.Process) -> None:
    """Kill a process unless it has ended."""
    if process.returncode is None:
        process.kill()
        await process.wait()


@asynccontextmanager
async def running_program(
    script: Callable[[ReceivedRequest], Any] | bytes, directory: Path, **configuration: Any
) -> AsyncIterator[RunningProgram]:
    """Run a sidecar program with one server; `configuration` replaces keys of its configuration file."""
    server = await ScriptedServer(script).start()
    discovery = ScriptedDiscovery()
    discovery.servers = [endpoint_entry("s-1", server.address)]
    await discovery.start()
    known = {"version": 1, "full": True, "servers": discovery.servers}
    path = directory / "config.json"
    addresses = {"discovery": discovery.address, "known": known}
    path.write_text(json.dumps({**VALID_CONFIGURATION, **addresses, **configuration}))
    process = await start_program(path)
    try:
        assert process.stderr is not None
        listening_line = (await within_timeout(process.stderr.readline())).decode()
        match = re.search(r"serves on .*:(\d+)", listening_line)
        assert match is not None, listening_line
        yield RunningProgram(process, int(match[1]), server)
    finally:
        await kill_program(process)
        server.stop()
        discovery.stop()


def test_sigterm_answers_open_and_late_requests_then_exits_with_0(tmp_path: Path) -> None:
    # Guards against losing requests at a restart: those received before SIGTERM, and later ones on
    # connections that are already open or on new ones.
    async def main() -> None:
        release = asyncio.Event()

        async def respond_on_release(request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_program(respond_on_release, tmp_path) as program:
            active_client, idle_client = await program.client(), await program.client()
            idle_client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await idle_client.read_response()).status == 200
            active_client.send(request_bytes("lodge"))
            await wait_until(lambda: len(program.server.requests) == 1)
            program.process.send_signal(signal.SIGTERM)
            assert await within_timeout(idle_client.reader.read()) == b""  # the idle connection was closed
            late_client = await program.client()
            late_client.send(request_bytes("lodge"))
            await wait_until(lambda: len(program.server.requests) == 2)
            release.set()
            for client in (active_client, late_client):
                response = await client.read_response()
                assert (response.status, response.headers["connection"]) == (200, "close")
                assert await within_timeout(client.reader.read()) == b""
            assert await within_timeout(program.process.wait()) == 0

    run_async(main)


def test_sigterm_with_a_silent_server_answers_in_time(tmp_path: Path) -> None:
    # Guards against a request that is unanswered at SIGKILL because its deadline is later.
    async def main() -> None:
        async def send_no_response(request: ReceivedRequest) -> None:
            return None

        async with running_program(send_no_response, tmp_path) as program:
            client = await program.client()
            client.send(request_bytes("lodge", timeout="30"))
            await wait_until(lambda: len(program.server.requests) == 1)
            program.process.send_signal(signal.SIGTERM)
            response = await client.read_response()
            assert (response.status, response.headers["connection"]) == (504, "close")
            assert await within_timeout(program.process.wait()) == 0

    run_async(main)


def test_sighup_changes_the_discovery_address_and_rejects_an_invalid_file(tmp_path: Path) -> None:
    async def main() -> None:
        path = tmp_path / "config.json"
        async with running_program(OK, tmp_path) as program:
            stderr = program.process.stderr
            assert stderr is not None
            new_discovery = ScriptedDiscovery()
            await new_discovery.start()
            document = json.loads(path.read_text())
            new_discovery.servers = document["known"]["servers"]
            path.write_text("{")
            program.process.send_signal(signal.SIGHUP)
            assert (await within_timeout(stderr.readline())).startswith(
                b"configuration_rejected: BALANCER_CONFIG: "
            )
            path.write_text(json.dumps({**document, "discovery": new_discovery.address}))
            program.process.send_signal(signal.SIGHUP)
            log_line = (await within_timeout(stderr.readline())).decode()
            assert (
                log_line == f"configuration_reloaded: discovery is at {new_discovery.address}, version none\n"
            )
            await wait_until(lambda: len(new_discovery.requests) >= 2)
            assert (await (await program.client()).request()).status == 200
            program.process.send_signal(signal.SIGTERM)
            assert await within_timeout(program.process.wait()) == 0
            new_discovery.stop()

    run_async(main)


def test_address_in_use_exits_with_1(tmp_path: Path) -> None:
    async def main() -> None:
        async with running_program(OK, tmp_path) as program:
            path = tmp_path / "second.json"
            path.write_text(json.dumps({**VALID_CONFIGURATION, "listen": f"{HOST}:{program.port}"}))
            second_process = await start_program(path)
            _, stderr = await within_timeout(second_process.communicate())
            assert second_process.returncode == 1
            assert stderr.startswith(b"sidecar: can't listen: ") and stderr.count(b"\n") == 1

    run_async(main)
