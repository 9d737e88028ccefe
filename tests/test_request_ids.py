"""Request ids that come again after their client has left, at the same process or at another one."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from loopback import (
    FULL,
    OK,
    Client,
    ReceivedRequest,
    SidecarHarness,
    request_bytes,
    run_async,
    running_sidecar,
    wait_until,
)
from test_hot_restart import running_platform
from upstream_harness import FakeClock

from sidecar import request_ids
from sidecar.clock import Clock
from sidecar.log_events import LogEvent
from sidecar.request_ids import RequestIdTable


def make_table(directory: Path | None = None, clock: Clock | None = None) -> RequestIdTable:
    return RequestIdTable(clock or FakeClock(), directory, lambda event: pytest.fail(str(event)))


def test_id_is_claimed_by_one_request_until_it_is_released() -> None:
    table = make_table()
    assert table.claim(b"a", 1) and table.claim(b"a", 1) and table.claim(b"b", 2)
    assert not table.claim(b"a", 2)
    table.release(b"a", 2)  # not its owner
    assert not table.claim(b"a", 2)
    table.release(b"a", 1)
    assert table.claim(b"a", 2)


def test_id_is_forgotten_after_a_while() -> None:
    clock = FakeClock()
    table = make_table(clock=clock)
    assert table.claim(b"a", 1)
    clock.time += request_ids._RETENTION_US - 1
    assert not table.claim(b"a", 2)
    clock.time += 1
    assert table.claim(b"a", 2)


@pytest.mark.parametrize("step_s", [-3_600, 3_600])
def test_id_is_recognized_by_a_process_that_started_after_the_wall_clock_was_stepped(
    step_s: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an id that runs twice, or is refused for an hour, at an upgrade.
    assert make_table(tmp_path, Clock()).claim(b"a", 1)
    wall_clock_ns = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: wall_clock_ns() + step_s * 1_000_000_000)
    stepped = Clock()
    assert not make_table(tmp_path, stepped).claim(b"a", 2)
    started_ns = time.monotonic_ns()
    monkeypatch.setattr(time, "monotonic_ns", lambda: started_ns + request_ids._RETENTION_US * 2_000)
    assert make_table(tmp_path, stepped).claim(b"a", 2)


def test_ids_from_before_a_restart_of_the_system_are_forgotten(tmp_path: Path) -> None:
    clock = FakeClock()
    clock.time = 10 * request_ids._RETENTION_US
    assert make_table(tmp_path, clock).claim(b"a", 1)
    clock.time = 0
    assert make_table(tmp_path, clock).claim(b"a", 2)


def test_full_bucket_forgets_the_oldest_id() -> None:
    # Guards against a table that grows under ever new ids.
    clock = FakeClock()
    table = make_table(clock=clock)
    first_bucket = [b"%d" % number for number in range(30_000)]
    ids = [text for text in first_bucket if request_ids._locate(text)[1] == 0]
    ids = ids[: request_ids._SLOTS_PER_BUCKET + 1]
    for number, request_id in enumerate(ids):
        clock.time += 1
        assert table.claim(request_id, number)
    assert not table.claim(ids[1], 1_000)
    assert table.claim(ids[0], 1_000)


def test_processes_share_their_ids_in_a_directory(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    clock = FakeClock()
    old = make_table(tmp_path, clock)
    monkeypatch.setattr("os.getpid", lambda: 77)
    new = make_table(tmp_path, clock)
    assert old.claim(b"a", 1)
    assert not new.claim(b"a", 1)
    new.release(b"a", 1)
    assert not new.claim(b"a", 1)


def test_table_whose_file_can_not_be_used_is_not_shared(tmp_path: Path) -> None:
    (tmp_path / request_ids._FILE_NAME).mkdir()
    log: list[LogEvent] = []
    table = RequestIdTable(FakeClock(), tmp_path, log.append)
    assert [event.name for event in log] == ["request_ids_not_shared"]
    assert table.claim(b"a", 1) and not table.claim(b"a", 2)


async def leave_during(harness: SidecarHarness, request: bytes) -> None:
    """Send a request, and leave once a server has it."""
    client = await harness.client()
    before = len(harness.requests)
    client.send(request)
    await wait_until(lambda: len(harness.requests) > before)
    client.close()
    await wait_until(lambda: harness.sidecar.open_requests == 0)


async def response_status(harness: SidecarHarness, request: bytes) -> int:
    client = await harness.client()
    client.send(request)
    return (await client.read_response()).status


@pytest.mark.parametrize(("service_class", "status", "runs"), [("lodge", 409, 1), ("check", 200, 2)])
def test_id_that_comes_again_after_its_client_has_left(service_class: str, status: int, runs: int) -> None:
    # Guards against executing a request twice, unless it is idempotent.
    async def work() -> None:
        is_first = [True]

        async def respond(_request: ReceivedRequest) -> bytes | None:
            was_first, is_first[0] = is_first[0], False
            return None if was_first else OK

        async with running_sidecar(respond) as harness:
            request = request_bytes(service_class)
            await leave_during(harness, request)
            assert await response_status(harness, request) == status
            assert len(harness.requests) == runs
            assert (await harness.request("lodge")).status == 200

    run_async(work)


def test_id_that_no_server_can_have_executed_may_come_again() -> None:
    async def work() -> None:
        responses = iter([FULL, OK])

        async def respond(_request: ReceivedRequest) -> bytes:
            return next(responses)

        async with running_sidecar(respond) as harness:
            request = request_bytes("lodge")
            assert await response_status(harness, request) == 503
            assert await response_status(harness, request) == 200
            assert await response_status(harness, request) == 409

    run_async(work)


def test_id_that_comes_again_at_the_other_process_is_not_executed(tmp_path: Path) -> None:
    # Guards against executing a request twice because its client comes again during an upgrade.
    async def work() -> None:
        executed: list[str] = []

        async def hold(request: ReceivedRequest) -> None:
            executed.append(request.headers["request-id"])
            await asyncio.Event().wait()

        async with running_platform(tmp_path, hold) as platform:
            request = request_bytes("lodge", timeout="0.5")
            await platform.start()
            client = await platform.client()
            client.send(request)
            await wait_until(lambda: len(executed) == 1)
            client.close()
            old = platform.processes[0].system_process
            await platform.start()
            old.terminate()
            await old.wait()
            again: Client = await platform.client()
            again.send(request)
            assert (await again.read_response()).status == 409
            assert len(executed) == 1

    run_async(work)
