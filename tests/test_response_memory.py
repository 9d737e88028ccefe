"""The limit on the memory that buffered responses hold together."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from loopback import (
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
from sidecar.memory_limits import MemoryLimits
from sidecar.upstream import upstream

MEMORY_MB = 32
SOCKETS = 1_024
LIMITS = {"limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}}
CONNECTIONS = connection_limits(SOCKETS, 0, is_only_process=True)
MEMORY_LIMITS = MemoryLimits.of_process(MEMORY_MB, CONNECTIONS.downstream, CONNECTIONS.upstream)
BODY = bytes(60_000)
SENT_AT_ONCE = 50_000
PROCESS_MEMORY_MB = 48
RESPONSES = 2 * MEMORY_LIMITS.responses // SENT_AT_ONCE


def response_memory(harness: SidecarHarness) -> int:
    return harness.sidecar._response_memory.used_bytes


class SlowResponses:
    """A script that sends the beginning of each response, and the rest once `release` is set."""

    def __init__(self, *fields: str) -> None:
        self.release = asyncio.Event()
        self.begun = 0
        lines = [f"Content-Length: {len(BODY)}", *fields]
        self.head = f"HTTP/1.1 200 OK\r\n{''.join(line + chr(13) + chr(10) for line in lines)}\r\n".encode()

    async def __call__(self, request: ReceivedRequest) -> bytes:
        request.writer.write(self.head + BODY[:SENT_AT_ONCE])
        self.begun += 1
        await self.release.wait()
        return BODY[SENT_AT_ONCE:]


def test_responses_that_arrive_slowly_hold_limited_memory_and_arrive_whole() -> None:
    # Guards against a process that is killed because hundreds of servers pause within their response.
    async def work() -> None:
        slow = SlowResponses()
        async with running_sidecar(slow, configuration=LIMITS) as harness:
            clients = [await harness.client() for _ in range(RESPONSES)]
            for client in clients:
                client.send(request_bytes("check", timeout="3"))
            await wait_until(lambda: slow.begun == RESPONSES)
            await wait_until(lambda: response_memory(harness) > MEMORY_LIMITS.responses // 2)
            assert response_memory(harness) <= MEMORY_LIMITS.responses + MEMORY_LIMITS.read
            slow.release.set()
            responses = [await client.read_response() for client in clients]
            assert [(each.status, each.body) for each in responses] == [(200, BODY)] * RESPONSES
            await wait_until(lambda: response_memory(harness) == 0)

    run_async(work)


def test_response_that_is_streamed_to_save_memory_ends_with_its_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against an answer that comes long after its client has stopped waiting.
    monkeypatch.setattr(upstream, "STALL_TIMEOUT_S", 3_600.0)

    async def work() -> None:
        slow = SlowResponses()
        async with running_sidecar(slow, configuration=LIMITS) as harness:
            harness.sidecar._response_memory.hold(MEMORY_LIMITS.responses)
            client = await harness.client()
            client.send(request_bytes("check", timeout="0.3"))
            assert (await within_timeout(client.reader.readline())).startswith(b"HTTP/1.1 200")
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await within_timeout(client.reader.readexactly(len(BODY)))
            slow.release.set()

    run_async(work)


def test_process_stays_within_its_memory_with_slow_responses_of_many_fields(tmp_path: Path) -> None:
    # Guards against a process that is killed for its memory, with as many clients as its descriptors allow.
    async def work() -> None:
        slow = SlowResponses(*(f"a{number}:" for number in range(240)))
        limits = {"cores": 1.0, "memory_mb": PROCESS_MEMORY_MB, "sockets": SOCKETS}
        async with running_program(slow, tmp_path, limits=limits) as program:
            clients = [await program.client() for _ in range(SOCKETS // 3)]
            for client in clients:
                client.send(request_bytes("check", timeout="4"))
            await wait_until(lambda: slow.begun > len(clients) // 2)
            await asyncio.sleep(0.5)  # lets the sidecar read what it was sent
            slow.release.set()
            for client in clients:
                await client.read_response()
            assert program.process.returncode is None
            assert peak_memory_mb(program.process.pid) < PROCESS_MEMORY_MB

    run_async(work)
