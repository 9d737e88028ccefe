"""The rate limit of the log."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
from pathlib import Path

import pytest
from loopback import HOST, Client, run_async, within_timeout
from test_program import VALID_CONFIGURATION, kill_program, start_program

from sidecar import log_writer
from sidecar.log_events import LinesDropped, ShutdownStarted
from sidecar.log_writer import LogWriter


class FixedClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock only advances when the test sets `now_s`."""

    now_s = 1_000.0

    def time(self) -> float:
        return self.now_s


def test_lines_beyond_the_burst_are_dropped_and_counted(capfd: pytest.CaptureFixture[str]) -> None:
    loop = FixedClockLoop()
    event = ShutdownStarted()

    async def write_lines() -> None:
        writer = LogWriter()
        for _ in range(int(log_writer._BURST_LINES) + 7):
            writer(event)
        loop.now_s += 1.5 / log_writer._LINES_PER_S
        writer(event)
        writer(event)

    loop.run_until_complete(write_lines())
    loop.close()
    lines = capfd.readouterr().err.splitlines()
    assert lines[:-2] == [str(event)] * int(log_writer._BURST_LINES)
    assert lines[-2:] == [str(LinesDropped(7)), str(event)]


def fail_to_write(_descriptor: int, _content: bytes) -> int:
    raise OSError(errno.ENOSPC, "no space left")


def test_lines_that_cannot_be_written_are_dropped_and_counted(
    capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a process that ends, or fails a request, because its log can't be written.
    async def write_lines() -> None:
        writer = LogWriter()
        with monkeypatch.context() as failing:
            failing.setattr(os, "write", fail_to_write)
            for _ in range(3):
                writer(ShutdownStarted())
        writer(ShutdownStarted())

    asyncio.run(write_lines())
    assert capfd.readouterr().err.splitlines() == [str(LinesDropped(3)), str(ShutdownStarted())]


def test_log_that_nobody_reads_does_not_hold_up_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against an event loop that waits for space in a full pipe.
    reading, writing = os.pipe()
    monkeypatch.setattr(log_writer, "STANDARD_ERROR", writing)
    monkeypatch.setattr(log_writer, "_BURST_LINES", 1e6)

    async def write_lines() -> None:
        writer = LogWriter()
        for _ in range(100_000):
            writer(ShutdownStarted())

    asyncio.run(write_lines())
    os.close(reading)
    os.close(writing)


def test_process_serves_and_ends_gracefully_while_its_log_cannot_be_written(tmp_path: Path) -> None:
    # Guards against a process that ends by itself, or without draining, on a full disk.
    async def work() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(VALID_CONFIGURATION))
        with socket.create_server((HOST, 0)) as listener, open("/dev/full", "wb") as full_disk:  # noqa: PTH123
            descriptor = listener.fileno()
            environment = {"BALANCER_SOCKET_FD": str(descriptor), "TMPDIR": str(tmp_path)}
            process = await start_program(path, environment, (descriptor,), full_disk.fileno())
            try:
                client = Client(*await asyncio.open_connection(*listener.getsockname()))
                client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await client.read_response()).status == 200
                process.send_signal(signal.SIGTERM)
                assert await within_timeout(client.reader.read()) == b""
                client.close()
                assert await within_timeout(process.wait()) == 0
            finally:
                await kill_program(process)

    run_async(work)
