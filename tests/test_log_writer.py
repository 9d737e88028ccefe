"""The rate limit of the log."""

from __future__ import annotations

import asyncio

import pytest

from sidecar import log_writer
from sidecar.log_events import LinesDropped, ShutdownStarted
from sidecar.log_writer import LogWriter


class FixedClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock only advances when the test sets `now_s`."""

    now_s = 1_000.0

    def time(self) -> float:
        return self.now_s


def test_lines_beyond_the_burst_are_dropped_and_counted(capsys: pytest.CaptureFixture[str]) -> None:
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
    lines = capsys.readouterr().err.splitlines()
    assert lines[:-2] == [str(event)] * int(log_writer._BURST_LINES)
    assert lines[-2:] == [str(LinesDropped(7)), str(event)]
