"""Calls a function at a fixed interval."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Poller:
    """Calls `poll` when it is started and at each interval after that, until it is closed."""

    def __init__(self, interval_s: float, poll: Callable[[], None]) -> None:
        self._interval_s = interval_s
        self._poll = poll
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Call the function now, and then at each interval, even if a call raises an exception."""
        self._timer = asyncio.get_running_loop().call_later(self._interval_s, self.start)
        self._poll()

    def close(self) -> None:
        """Stop polling."""
        if self._timer is not None:
            self._timer.cancel()
