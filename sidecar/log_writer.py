"""Writes log events to standard error at a limited rate, so that the log can't fill a disk."""

from __future__ import annotations

import asyncio
import sys

from sidecar.log_events import LinesDropped, LogEvent

_LINES_PER_S = 20.0
_BURST_LINES = 200.0


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
        if self._dropped:
            print(LinesDropped(self._dropped), file=sys.stderr)
            self._dropped = 0
        print(event, file=sys.stderr, flush=True)
