"""Limits on the memory that requests hold while they arrive and while they are pending."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from loopback import (
    OK,
    Client,
    ReceivedRequest,
    SidecarHarness,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
    within_timeout,
)
from memory_use import peak_memory_mb
from test_program import running_program

from sidecar.hot_restart import connection_limits
from sidecar.memory_budget import HEADER_FIELD_BYTES
from sidecar.memory_limits import MemoryLimits

MEMORY_MB = 32
SOCKETS = 1_024
LIMITS = {"limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}}
CONNECTIONS = connection_limits(SOCKETS, 0, is_only_process=True)
REQUEST_MEMORY = MemoryLimits.of_process(MEMORY_MB, CONNECTIONS.downstream, CONNECTIONS.upstream).requests
PROCESS_MEMORY_MB = 64
PROCESS_LIMITS = {"cores": 1.0, "memory_mb": PROCESS_MEMORY_MB, "sockets": 1_024}
BODY = bytes(60_000)
ROOM = REQUEST_MEMORY // len(BODY)  # how many such bodies may be held


def used_bytes(harness: SidecarHarness) -> int:
    return harness.sidecar.downstream.request_memory.used_bytes


async def send_incomplete(harness: SidecarHarness, count: int, **headers: str) -> list[Client]:
    """Let clients send requests whose last byte is missing, one after another, each longer than the last."""
    clients = []
    for number in range(count):
        clients.append(await harness.client())
        before = used_bytes(harness)
        clients[-1].send(request_bytes("lodge", body=BODY + bytes(number), **headers)[:-1])
        await wait_until(lambda before=before: used_bytes(harness) != before)  # type: ignore[misc]
    return clients


def test_incomplete_requests_hold_limited_memory() -> None:
    # Guards against a process that is killed because hundreds of clients stop in the middle of a request.
    async def work() -> None:
        async with running_sidecar(OK, configuration=LIMITS) as harness:
            clients = await send_incomplete(harness, 2 * ROOM)
            await wait_until(lambda: used_bytes(harness) <= REQUEST_MEMORY)
            assert (await clients[0].read_response()).status == 503
            assert (await harness.request("lodge", body=b"x")).status == 200

    run_async(work)


def test_many_short_header_fields_count_as_memory() -> None:
    # Guards against heads whose parsed fields take many times the memory of their bytes.
    async def work() -> None:
        async with running_sidecar(OK, configuration=LIMITS) as harness:
            fields = {f"a{number}": "b" for number in range(200)}
            await send_incomplete(harness, 1, **fields)
            assert used_bytes(harness) > 200 * HEADER_FIELD_BYTES

    run_async(work)


def test_memory_of_requests_is_released() -> None:
    # Guards against a limit that is reached for good, after requests that ended in different ways.
    async def work() -> None:
        release = asyncio.Event()

        async def hold(_request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_sidecar(hold, configuration=LIMITS) as harness:
            stopped, left = await send_incomplete(harness, 2)
            left.close()
            pending, gone = await harness.client(), await harness.client()
            for client in (pending, gone):
                client.send(request_bytes("lodge", body=BODY))
            await wait_until(lambda: len(harness.requests) == 2)
            gone.close()
            release.set()
            assert (await pending.read_response()).status == 200
            assert (await (await harness.client()).request("unknown")).status == 400
            assert (await harness.request("lodge", body=BODY)).status == 200
            harness.sidecar.downstream.close_overdue(asyncio.get_running_loop().time() + 60.0)
            assert (await stopped.read_response()).status == 408
            await wait_until(lambda: used_bytes(harness) == 0)

    run_async(work)


def test_request_counts_as_memory_until_its_attempts_have_ended() -> None:
    # Guards against bodies that are not counted, as their clients have left, while attempts still send them.
    async def work() -> None:
        release = asyncio.Event()

        async def hold(_request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_sidecar(hold, configuration=LIMITS, bounds={"mayCancel": False}) as harness:
            client = await harness.client()
            client.send(request_bytes("lodge", body=BODY, timeout="30"))
            await wait_until(lambda: len(harness.requests) == 1)
            client.close()
            await wait_until(lambda: harness.sidecar.unanswered_requests == 0)
            assert used_bytes(harness) > len(BODY)
            release.set()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert used_bytes(harness) == 0

    run_async(work)


def test_pending_requests_are_not_ended_for_want_of_memory() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(_request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with running_sidecar(hold, configuration=LIMITS) as harness:
            clients = [await harness.client() for _ in range(ROOM)]
            for client in clients:
                client.send(request_bytes("lodge", body=BODY, timeout="30"))
            await wait_until(lambda: len(harness.requests) == ROOM)
            assert (await harness.request("lodge", body=BODY)).status == 503
            release.set()
            statuses = [(await within_timeout(client.read_response())).status for client in clients]
            assert statuses == [200] * ROOM

    run_async(work)


def test_process_stays_within_its_memory_with_hundreds_of_slow_clients(tmp_path: Path) -> None:
    # Guards against a process that is killed for its memory, with as many clients as its descriptors allow.
    async def work() -> None:
        release = asyncio.Event()

        async def hold(_request: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        fields = {f"x_{number:020}": f"{number:030}" for number in range(220)}
        request = request_bytes("lodge", body=bytes(64_000), timeout="3", **fields)
        async with running_program(hold, tmp_path, limits=PROCESS_LIMITS) as program:
            clients = []
            for _ in range(1_024 // 3):
                clients.append(await program.client())
                clients[-1].send(request[:-1])
                await clients[-1].writer.drain()
            await asyncio.sleep(0.5)  # lets the sidecar read what it accepts
            for client in clients:
                client.send(request[-1:])
            release.set()
            for client in clients:
                with contextlib.suppress(OSError, EOFError):
                    await within_timeout(client.reader.readline())
            assert program.process.returncode is None
            assert peak_memory_mb(program.process.pid) < PROCESS_MEMORY_MB
            for client in clients:
                client.close()

    run_async(work)
