"""One clock for all processes of a day, and what they write of being late by it."""

from __future__ import annotations

import asyncio
import time

from testbed.events import EventLogWriter, WriterLate

_AHEAD_NS = 3_600_000_000_000
_LOOK_S = 0.05
_WORTH_TELLING_US = 20_000


class RunClock:
    """Microseconds since the day began, by the system's monotonic clock, which all processes share."""

    def __init__(self, began_ns: int | None = None) -> None:
        """Until it begins, the day is an hour ahead: all times are negative, and nothing of it is due."""
        self._began_ns = time.monotonic_ns() + _AHEAD_NS if began_ns is None else began_ns

    def set_origin(self, began_ns: int) -> None:
        """Set the origin of the clock, in nanoseconds of the monotonic clock."""
        self._began_ns = began_ns

    def now(self) -> int:
        """Microseconds since the origin."""
        return (time.monotonic_ns() - self._began_ns) // 1_000

    def wait_s(self, at: int) -> float:
        """Seconds from now until a time of the day."""
        return max(at - self.now(), 0) / 1e6

    def unix_ms(self, at: int) -> int:
        """A time of the day as Unix time."""
        return (time.time_ns() + (at - self.now()) * 1_000) // 1_000_000


async def log_lateness(clock: RunClock, who: str, writer: EventLogWriter) -> None:
    """Write how late this process's event loop was, where it was; runs until it is cancelled."""
    due = clock.now()
    while True:
        due += round(_LOOK_S * 1e6)
        await asyncio.sleep(clock.wait_s(due))
        now = clock.now()
        if now - due > _WORTH_TELLING_US:
            writer.write(WriterLate(at_us=now, writer=who, late_us=now - due))
            due = now
