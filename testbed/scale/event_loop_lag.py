"""Event loop lag: how late timers fire, the first sign that the machine limits a measurement."""

from __future__ import annotations

import asyncio
import time

_INTERVAL_S = 0.02
_MAX_MEASUREMENTS = 100_000  # about half an hour


class EventLoopLag:
    """Sleeps for short intervals and records by how much each wake-up was late."""

    def __init__(self) -> None:
        self._late_s: list[float] = []

    async def measure(self) -> None:
        """Measure until cancelled."""
        while True:
            due = time.monotonic() + _INTERVAL_S
            await asyncio.sleep(_INTERVAL_S)
            if len(self._late_s) < _MAX_MEASUREMENTS:
                self._late_s.append(max(time.monotonic() - due, 0.0))

    def take_ms(self) -> tuple[float, float]:
        """Return the 99th percentile and the maximum since the last call, in milliseconds, and start anew."""
        late, self._late_s = sorted(self._late_s), []
        if not late:
            return 0.0, 0.0
        return late[int(len(late) * 0.99)] * 1e3, late[-1] * 1e3
