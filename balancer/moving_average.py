"""Moving averages of event rates, as exponentially decaying counts."""

from __future__ import annotations

import math


class DecayingRate:
    """An exponentially weighted moving average of a rate, with time constant `window_us`.

    Takes constant time and memory at any rate.
    """

    __slots__ = ("_count", "_updated_at", "_window_us")

    def __init__(self, window_us: float) -> None:
        self._window_us = window_us
        self._count = 0.0
        self._updated_at = 0

    def set_window(self, window_us: float) -> None:
        """Change the time constant without changing the current rate."""
        self._count *= window_us / self._window_us
        self._window_us = window_us

    def add(self, now: int, amount: float) -> None:
        """Add an amount at clock time `now`."""
        self._decay(now)
        self._count += amount

    def per_us(self, now: int) -> float:
        """Return the average amount per microsecond at clock time `now`."""
        self._decay(now)
        return self._count / self._window_us

    def _decay(self, now: int) -> None:
        if now > self._updated_at:
            self._count *= math.exp((self._updated_at - now) / self._window_us)
            self._updated_at = now
