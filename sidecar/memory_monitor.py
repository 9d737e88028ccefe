"""Logs what holds the process's memory when it comes near its limit, beyond which the platform kills it."""

from __future__ import annotations

import resource
from collections.abc import Callable
from pathlib import Path

from sidecar.log_events import EventLog, LogEvent
from sidecar.poller import Poller

_POLL_INTERVAL_S = 0.25
_POLLS_BETWEEN_LINES = 40
_HIGH_FRACTION = 0.9  # of the limit
_STATM = Path("/proc/self/statm")
_RESIDENT_FIELD = 1  # of /proc/self/statm, in pages
_BYTES_PER_MB = 1 << 20


def resident_mb() -> int:
    """Return the resident memory of this process in megabytes; 0 if the system doesn't tell."""
    try:
        pages = int(_STATM.read_text(encoding="ascii").split()[_RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize() // _BYTES_PER_MB


class MemoryMonitor:
    """Polls the resident memory, and logs a line at most once in ten seconds while it is high."""

    def __init__(
        self,
        limit_mb: int,
        describe: Callable[[int], LogEvent],
        log: EventLog,
        measure_mb: Callable[[], int] = resident_mb,
    ) -> None:
        """`describe` returns the event to log, given the resident memory in megabytes."""
        self._high_mb = limit_mb * _HIGH_FRACTION
        self._describe = describe
        self._log = log
        self._measure_mb = measure_mb
        self._polls_to_skip = 0
        self._poller = Poller(_POLL_INTERVAL_S, self.check)

    def start(self) -> None:
        """Start polling."""
        self._poller.start()

    def check(self) -> None:
        """Check the memory now."""
        if self._polls_to_skip:
            self._polls_to_skip -= 1
            return
        used_mb = self._measure_mb()
        if used_mb > self._high_mb:
            self._polls_to_skip = _POLLS_BETWEEN_LINES
            self._log(self._describe(used_mb))

    def close(self) -> None:
        """Stop polling."""
        self._poller.close()
