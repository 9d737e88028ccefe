"""Suspicion of a member that did not answer: it has time to refute it before it is declared dead.

The time-out starts long and shrinks as other members suspect it independently (Lifeguard).
"""

from __future__ import annotations

import math

_MAX_CONFIRMATIONS = 3  # members besides the first that suspect it, from which on the time-out is the least


class Suspicion:
    """One member under suspicion.  All times are microseconds."""

    __slots__ = ("_max_timeout_us", "_min_timeout_us", "_needed_confirmations", "_started_at", "reporters")

    def __init__(self, now: int, reporter: int, min_timeout_us: int, timeout_ratio: float, size: int) -> None:
        """`timeout_ratio` is the greatest time-out divided by the least; `size` that of the cluster."""
        self._started_at = now
        self.reporters = {reporter}
        self._min_timeout_us = min_timeout_us
        # There are `size - 3` members besides it, the first reporter and the local one.
        self._needed_confirmations = max(min(_MAX_CONFIRMATIONS, size - 3), 0)
        self._max_timeout_us = (
            int(min_timeout_us * timeout_ratio) if self._needed_confirmations else min_timeout_us
        )

    def confirm(self, reporter: int) -> bool:
        """Another member suspects it too; return False if that is known or needs no dissemination."""
        if reporter in self.reporters or len(self.reporters) > self._needed_confirmations:
            return False
        self.reporters.add(reporter)
        return True

    @property
    def expires_at(self) -> int:
        """When the member is declared dead, if it does not refute the suspicion before."""
        if not self._needed_confirmations:
            return self._started_at + self._min_timeout_us
        confirmed = math.log(len(self.reporters)) / math.log(self._needed_confirmations + 1)
        range_us = self._max_timeout_us - self._min_timeout_us
        return self._started_at + int(self._max_timeout_us - range_us * confirmed)

    def restart(self, now: int) -> None:
        """Count the time-out from now on: what passed while the local process stood still says nothing."""
        self._started_at = now


def min_timeout_us(size: int, period_us: int, periods: float) -> int:
    """The least time-out: this many protocol periods, times the decimal digits of the cluster's size."""
    return int(periods * max(math.log10(max(size, 1)), 1.0) * period_us)
