"""The log line that says what holds the memory when the process is near its limit."""

from __future__ import annotations

import signal
from pathlib import Path

from loopback import OK, run_async, within_timeout
from test_program import running_program

from sidecar.log_events import LogEvent, ShutdownStarted
from sidecar.memory_monitor import MemoryMonitor


def test_memory_near_the_limit_is_logged_at_most_once_in_ten_seconds() -> None:
    # Guards against a process that is killed for its memory and leaves no reason in its log.
    used_mb = 50
    lines: list[LogEvent] = []
    monitor = MemoryMonitor(64, lambda _used_mb: ShutdownStarted(), lines.append, lambda: used_mb)
    monitor.check()
    assert lines == []
    used_mb = 58
    for _ in range(82):
        monitor.check()
    assert len(lines) == 2


def test_process_names_what_is_held_and_open(tmp_path: Path) -> None:
    async def work() -> None:
        limits = {"cores": 1.0, "memory_mb": 1, "sockets": 1_024}
        async with running_program(OK, tmp_path, limits=limits) as program:
            assert program.process.stderr is not None
            line = (await within_timeout(program.process.stderr.readline())).decode()
            assert line.startswith("memory_high: ") and " of 1 MB; " in line
            assert line.endswith("requests 0, connections of clients 0, to servers 0\n")

    run_async(work)


def test_fatal_signal_leaves_a_traceback_in_the_log(tmp_path: Path) -> None:
    # Guards against a process that ends by itself and leaves no reason in its log.
    async def work() -> None:
        async with running_program(OK, tmp_path) as program:
            assert program.process.stderr is not None
            program.process.send_signal(signal.SIGBUS)
            log = await within_timeout(program.process.stderr.read())
            assert b"Fatal Python error: Bus error" in log

    run_async(work)
