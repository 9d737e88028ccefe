"""The sidecar's clock, and timers that use it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

_MIN_DELAY_S = 0.001  # keeps a timer that is always due from spinning the event loop


class Clock:
    """Unix time in whole microseconds.

    The system clock is read once; after that the monotonic clock is used.  So times can be compared with the
    start times of servers, but a step of the system clock affects no timer.
    """

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the time in microseconds."""
        return (time.monotonic_ns() + self._offset_ns) // 1_000

    def monotonic(self) -> int:
        """Return the system's monotonic time in microseconds, which is the same in all processes."""
        return time.monotonic_ns() // 1_000


class Timer:
    """A timer that can be rescheduled: each `schedule` replaces the previous one."""

    def __init__(self, clock: Clock, callback: Callable[[], None]) -> None:
        self._clock = clock
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_set(self) -> bool:
        """Whether the timer is scheduled."""
        return self._handle is not None

    def schedule(self, due: int) -> None:
        """Call the callback at the clock time `due` (microseconds), or within 1 ms if that has passed."""
        self.cancel()
        delay_s = max((due - self._clock.now()) / 1e6, _MIN_DELAY_S)
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._fire)

    def cancel(self) -> None:
        """Cancel the scheduled call, if any."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        self._handle = None
        self._callback()
