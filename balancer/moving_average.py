"""Event rates over a sliding span of time, as exponentially decaying counts."""

from __future__ import annotations

import math


class DecayingRate:
    """A rate averaged over about `window_us`: recent amounts count most, older ones fade exponentially.

    Takes constant time and memory, whatever the rate.
    """

    __slots__ = ("_count", "_updated_at", "_window_us")

    def __init__(self, window_us: float) -> None:
        self._window_us = window_us
        self._count = 0.0
        self._updated_at = 0

    def set_window(self, window_us: float) -> None:
        """Average over another span from now on; the current rate stays as it is."""
        self._count *= window_us / self._window_us
        self._window_us = window_us

    def add(self, now: int, amount: float) -> None:
        """Count an amount at clock time `now`."""
        self._decay(now)
        self._count += amount

    def per_us(self, now: int) -> float:
        """The average amount for each microsecond up to `now`."""
        self._decay(now)
        return self._count / self._window_us

    def _decay(self, now: int) -> None:
        if now > self._updated_at:
            self._count *= math.exp((self._updated_at - now) / self._window_us)
            self._updated_at = now
