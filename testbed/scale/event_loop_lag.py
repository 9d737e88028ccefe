"""How late an event loop is: what a machine that is the limit shows first."""

from __future__ import annotations

import asyncio
import time

_LOOK_S = 0.02
_MOST_KEPT = 100_000  # looks; half an hour


class EventLoopLag:
    """Looks at the clock again and again; keeps by how much it came late."""

    def __init__(self) -> None:
        self._late_s: list[float] = []

    async def watch(self) -> None:
        """Runs until it is cancelled."""
        while True:
            due = time.monotonic() + _LOOK_S
            await asyncio.sleep(_LOOK_S)
            if len(self._late_s) < _MOST_KEPT:
                self._late_s.append(max(time.monotonic() - due, 0.0))

    def taken_ms(self) -> tuple[float, float]:
        """The 99th percentile and the greatest since this was asked last, in milliseconds."""
        late, self._late_s = sorted(self._late_s), []
        if not late:
            return 0.0, 0.0
        return late[int(len(late) * 0.99)] * 1e3, late[-1] * 1e3
