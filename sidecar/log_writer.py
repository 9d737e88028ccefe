"""Writes log events to standard error at a limited rate, so that the log can't fill a disk.

A line that can't be written at once is dropped: a full disk, or a pipe that nobody reads, must neither end
the process nor hold it up.
"""

from __future__ import annotations

import asyncio
import os
import select
from collections.abc import Iterable

from sidecar.log_events import LinesDropped, LogEvent

_LINES_PER_S = 20.0
_BURST_LINES = 200.0
STANDARD_ERROR = 2  # its file descriptor


class LogWriter:
    """A log with a token-bucket rate limit; after dropped lines, the next line states their number."""

    def __init__(self) -> None:
        self._tokens = _BURST_LINES
        self._refilled_at_s = 0.0
        self._dropped = 0

    def __call__(self, event: LogEvent) -> None:
        """Write one line, or count it as dropped."""
        now_s = asyncio.get_running_loop().time()
        self._tokens = min(self._tokens + (now_s - self._refilled_at_s) * _LINES_PER_S, _BURST_LINES)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            self._dropped += 1
            return
        self._tokens -= 1.0
        lines = [self._dropped_lines(), event] if self._dropped else [event]
        self._dropped = 0 if _write_lines(lines) else self._dropped + 1

    def _dropped_lines(self) -> LinesDropped:
        return LinesDropped(self._dropped)


def _write_lines(lines: Iterable[LogEvent]) -> bool:
    """Write lines if that is possible without waiting; return whether they were written."""
    content = "".join(f"{line}\n" for line in lines).encode(errors="backslashreplace")
    poll = select.poll()
    poll.register(STANDARD_ERROR, select.POLLOUT)
    try:
        return bool(poll.poll(0)) and os.write(STANDARD_ERROR, content) == len(content)
    except OSError:
        return False
