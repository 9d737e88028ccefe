"""The process under system calls that fail in the ways that Linux documents."""

from __future__ import annotations

import asyncio
import signal
import subprocess
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from loopback import HOST, OK, run_async, within_timeout
from test_hot_restart import Platform, running_platform
from test_program import kill_program, start_program

SOURCE = Path(__file__).parent / "failing_system_calls.c"
CLIENTS = 8
REQUESTS_PER_CLIENT = 15
ANSWERS = {200, 502, 503, 504}
LOG_FILE = "log"
FAULTS = {
    "accept": {"FAIL_ACCEPT": "0.3"},
    "socket": {"FAIL_SOCKET": "0.6"},
    "connect": {"FAIL_CONNECT": "0.2"},
    "short reads and writes": {"FAIL_SHORT": "0.3"},
    "interrupted calls": {"FAIL_EINTR": "0.3"},
    "state directory": {"FAIL_FILE": "0.4"},
    "log": {"FAIL_LOG": "0.5"},
}


@pytest.fixture(scope="session")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Compile the library that makes system calls fail."""
    path = tmp_path_factory.mktemp("library") / "failing_system_calls.so"
    subprocess.run(["cc", "-shared", "-fPIC", "-o", str(path), str(SOURCE), "-ldl"], check=True)
    return path


@asynccontextmanager
async def running_process(
    platform: Platform, environment: dict[str, str]
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a process whose log goes to a file, and whose state directory holds nothing else."""
    state_directory = platform.directory / "state"
    state_directory.mkdir()
    descriptor = platform.listener.fileno()
    addresses = {"BALANCER_SOCKET_FD": str(descriptor), "BALANCER_CONSOLE": f"{HOST}:0"}
    with (platform.directory / LOG_FILE).open("wb") as log:
        process = await start_program(
            platform.directory / "config.json",
            {"TMPDIR": str(state_directory), **addresses, **environment},
            (descriptor,),
            log.fileno(),
        )
    try:
        yield process
    finally:
        await kill_program(process)


async def send_requests(platform: Platform) -> list[int]:
    """Send requests on one connection, and on another one whenever the sidecar has closed it."""
    statuses: list[int] = []
    client = await platform.client()
    while len(statuses) < REQUESTS_PER_CLIENT:
        try:
            response = await client.request("lodge", body=bytes(20_000))
        except (asyncio.IncompleteReadError, ConnectionError):
            client.close()
            client = await platform.client()
            continue
        statuses.append(response.status)
        if response.headers.get("connection") == "close":
            client.close()
            client = await platform.client()
    client.close()
    return statuses


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("environment", FAULTS.values(), ids=FAULTS.keys())
def test_process_outlives_failing_system_calls_and_answers_each_request(
    environment: dict[str, str], seed: int, library: Path, tmp_path: Path
) -> None:
    # Guards against a process that ends by itself, at its start or later, as a call failed for a moment.
    async def work() -> None:
        async with running_platform(tmp_path, OK) as platform:
            faults = {"LD_PRELOAD": str(library), "FAIL_SEED": str(seed), **environment}
            async with running_process(platform, faults) as process:
                statuses = await asyncio.gather(*(send_requests(platform) for _ in range(CLIENTS)))
                assert {status for answers in statuses for status in answers} <= ANSWERS
                process.send_signal(signal.SIGTERM)
                assert await within_timeout(process.wait()) == 0
            log = (tmp_path / LOG_FILE).read_text(encoding="utf-8")
            assert "Traceback" not in log and "internal_error" not in log, log

    run_async(work)
