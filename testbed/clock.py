"""The clock that all processes of a run share, and the log events for event loops that run late."""

from __future__ import annotations

import asyncio
import time

from testbed.events import EventLogWriter, WriterLate

_UNSET_ORIGIN_AHEAD_NS = 3_600_000_000_000
_CHECK_INTERVAL_S = 0.05
_MIN_LOGGED_LATENESS_US = 20_000


class RunClock:
    """Microseconds since the start of the run, by the system's monotonic clock, which all processes share."""

    def __init__(self, origin_ns: int | None = None) -> None:
        """Without an origin, the run starts in an hour: all times are negative and nothing is due yet."""
        self._origin_ns = time.monotonic_ns() + _UNSET_ORIGIN_AHEAD_NS if origin_ns is None else origin_ns

    def set_origin(self, origin_ns: int) -> None:
        """Set the start of the run, in nanoseconds of the monotonic clock."""
        self._origin_ns = origin_ns

    def now(self) -> int:
        """Microseconds since the start of the run."""
        return (time.monotonic_ns() - self._origin_ns) // 1_000

    def wait_s(self, at: int) -> float:
        """Seconds from now until a time in microseconds of the run; 0 if it has passed."""
        return max(at - self.now(), 0) / 1e6

    def unix_ms(self, at: int) -> int:
        """Convert a time in microseconds of the run to Unix time in milliseconds."""
        return (time.time_ns() + (at - self.now()) * 1_000) // 1_000_000


async def log_lateness(clock: RunClock, writer_name: str, writer: EventLogWriter) -> None:
    """Log whenever this process's event loop runs more than 20 ms late; runs until it is cancelled."""
    due = clock.now()
    while True:
        due += round(_CHECK_INTERVAL_S * 1e6)
        await asyncio.sleep(clock.wait_s(due))
        now = clock.now()
        if now - due > _MIN_LOGGED_LATENESS_US:
            writer.write(WriterLate(at_us=now, writer=writer_name, late_us=now - due))
            due = now
