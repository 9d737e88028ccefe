"""The program as it is deployed: its configuration, its end and its exit codes."""

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


def _without(key: str) -> dict[str, Any]:
    return {name: value for name, value in VALID_CONFIGURATION.items() if name != key}


@pytest.mark.parametrize(
    ("given", "key"),
    [
        ("", "BALANCER_CONFIG"),
        ("[1]", "BALANCER_CONFIG"),
        (_without("name"), "name"),
        ({**VALID_CONFIGURATION, "listen": "localhost:80"}, "listen"),
        ({**VALID_CONFIGURATION, "discovery": 5}, "discovery"),
        ({**VALID_CONFIGURATION, "seed": "xyz"}, "seed"),
        ({**VALID_CONFIGURATION, "limits": {"sockets": 3}}, "limits.sockets"),
        ({**VALID_CONFIGURATION, "known": {"version": 1}}, "known: full"),
        ({**VALID_CONFIGURATION, "peers": ["nowhere"]}, "peers[0]"),
        ({**VALID_CONFIGURATION, "peer_listen": "x"}, "peer_listen"),
        ({**VALID_CONFIGURATION, "console": "nowhere"}, "console"),
        (_without("settings"), "settings"),
        ({**VALID_CONFIGURATION, "settings": {"lanes": []}}, "settings.lanes"),
        (
            {**VALID_CONFIGURATION, "settings": {"lanes": SERVICE_CLASSES, "bounds": {"sendCap": "x"}}},
            "settings.bounds.sendCap",
        ),
    ],
    ids=str,
)
def test_invalid_configuration_is_one_line_that_names_the_key(
    given: object, key: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text(given if isinstance(given, str) else json.dumps(given))
    done = subprocess.run(
        [sys.executable, "-m", "sidecar"],
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2
    assert done.stdout == "" and done.stderr.count("\n") == 1
    assert done.stderr.startswith(f"sidecar: config: {key}")


class RunningProgram:
    """The running program, with one server behind it."""

    def __init__(self, process: asyncio.subprocess.Process, port: int, server: ScriptedServer) -> None:
        self.process, self.port, self.server = process, port, server

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(HOST, self.port))


async def start_program(
    config: Path, environ: dict[str, str] | None = None, descriptors: tuple[int, ...] = ()
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sidecar",
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(config), **(environ or {})},
        stderr=asyncio.subprocess.PIPE,
        pass_fds=descriptors,
    )


async def kill_program(process: asyncio.subprocess.Process) -> None:
    """See to it that a process is over, if it is not yet."""
    if process.returncode is None:
        process.kill()
        await process.wait()


@asynccontextmanager
async def running_program(
    script: Callable[[ReceivedRequest], Any] | bytes, folder: Path
) -> AsyncIterator[RunningProgram]:
    server = await ScriptedServer(script).start()
    discovery = ScriptedDiscovery()
    discovery.servers = [endpoint_entry("s-1", server.address)]
    await discovery.start()
    known = {"version": 1, "full": True, "servers": discovery.servers}
    path = folder / "config.json"
    path.write_text(json.dumps({**VALID_CONFIGURATION, "discovery": discovery.address, "known": known}))
    process = await start_program(path)
    try:
        assert process.stderr is not None
        ready = (await within_timeout(process.stderr.readline())).decode()
        told = re.search(r"serves on .*:(\d+)", ready)
        assert told is not None, ready
        yield RunningProgram(process, int(told[1]), server)
    finally:
        await kill_program(process)
        server.stop()
        discovery.stop()


def test_sigterm_answers_open_and_late_requests_then_exits_with_0(tmp_path: Path) -> None:
    # Guards against requests lost at a restart: taken before SIGTERM, on kept connections, and on new ones.
    async def main() -> None:
        release = asyncio.Event()

        async def hold(request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_program(hold, tmp_path) as running:
            taken, resting = await running.client(), await running.client()
            resting.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await resting.read_response()).status == 200
            taken.send(request_bytes("lodge"))
            await wait_until(lambda: len(running.server.requests) == 1)
            running.process.send_signal(signal.SIGTERM)
            assert await within_timeout(resting.reader.read()) == b""  # a connection at rest is let go
            late = await running.client()
            late.send(request_bytes("lodge"))
            await wait_until(lambda: len(running.server.requests) == 2)
            release.set()
            for client in (taken, late):
                answer = await client.read_response()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
                assert await within_timeout(client.reader.read()) == b""
            assert await within_timeout(running.process.wait()) == 0

    run_async(main)


def test_sigterm_with_a_silent_server_answers_in_time(tmp_path: Path) -> None:
    # Guards against SIGKILL finding a request unanswered that had more time left than the process has.
    async def main() -> None:
        async def silent(request: ReceivedRequest) -> None:
            return None

        async with running_program(silent, tmp_path) as running:
            taken = await running.client()
            taken.send(request_bytes("lodge", timeout="30"))
            await wait_until(lambda: len(running.server.requests) == 1)
            running.process.send_signal(signal.SIGTERM)
            answer = await taken.read_response()
            assert (answer.status, answer.headers["connection"]) == (504, "close")
            assert await within_timeout(running.process.wait()) == 0

    run_async(main)


def test_sighup_moves_discovery_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        path = tmp_path / "config.json"
        async with running_program(OK, tmp_path) as running:
            stderr = running.process.stderr
            assert stderr is not None
            other = ScriptedDiscovery()
            await other.start()
            good = json.loads(path.read_text())
            other.servers = good["known"]["servers"]
            path.write_text("{")
            running.process.send_signal(signal.SIGHUP)
            assert (await within_timeout(stderr.readline())).startswith(
                b"configuration_rejected: BALANCER_CONFIG: "
            )
            path.write_text(json.dumps({**good, "discovery": other.address}))
            running.process.send_signal(signal.SIGHUP)
            told = (await within_timeout(stderr.readline())).decode()
            assert told == f"configuration_reloaded: discovery is at {other.address}, version none\n"
            await wait_until(lambda: len(other.requests) >= 2)
            assert (await (await running.client()).request()).status == 200
            running.process.send_signal(signal.SIGTERM)
            assert await within_timeout(running.process.wait()) == 0
            other.stop()

    run_async(main)


def test_address_in_use_exits_with_1(tmp_path: Path) -> None:
    async def main() -> None:
        async with running_program(OK, tmp_path) as running:
            path = tmp_path / "second.json"
            path.write_text(json.dumps({**VALID_CONFIGURATION, "listen": f"{HOST}:{running.port}"}))
            second = await start_program(path)
            _, told = await within_timeout(second.communicate())
            assert second.returncode == 1
            assert told.startswith(b"sidecar: can't listen: ") and told.count(b"\n") == 1

    run_async(main)
