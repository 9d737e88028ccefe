"""The sidecar's clock, and a timer that goes by it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

_SOONEST_S = 0.001  # a timer that is due at once must not spin


class Clock:
    """Whole microseconds of Unix time, read once; from there on only the monotonic clock moves it.

    Servers' start times compare with it, and no step of the system's clock disturbs a timer or a deadline.
    """

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self._offset_ns) // 1_000


class Alarm:
    """One timer: set anew, it rings at the new time in place of the old."""

    def __init__(self, clock: Clock, ring: Callable[[], None]) -> None:
        self._clock, self._ring = clock, ring
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_set(self) -> bool:
        return self._timer is not None

    def at(self, at: int) -> None:
        """Ring at this time of the clock, or as good as at once where that has passed."""
        self.cancel()
        wait_s = max((at - self._clock.now()) / 1e6, _SOONEST_S)
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._rings)

    def cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _rings(self) -> None:
        self._timer = None
        self._ring()
