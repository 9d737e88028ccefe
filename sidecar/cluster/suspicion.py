"""Suspicion of a member that did not answer a ping; it is declared dead unless it refutes it in time.

The suspicion timeout starts long and shrinks with each other member that suspects it too (Lifeguard).
"""

from __future__ import annotations

import math

_MAX_CONFIRMATIONS = 3  # confirmations by other members at which the timeout reaches its minimum


class Suspicion:
    """The suspicion of one member.  All times are microseconds."""

    __slots__ = ("_max_timeout_us", "_min_timeout_us", "_needed_confirmations", "_started_at", "reporters")

    def __init__(self, now: int, reporter: int, min_timeout_us: int, timeout_ratio: float, size: int) -> None:
        """Start a suspicion that member `reporter` raised, in a cluster of `size` members.

        The timeout without confirmations is `min_timeout_us` times `timeout_ratio`.
        """
        self._started_at = now
        self.reporters = {reporter}
        self._min_timeout_us = min_timeout_us
        # Only members other than the suspected one, the first reporter and the local one can confirm.
        self._needed_confirmations = max(min(_MAX_CONFIRMATIONS, size - 3), 0)
        self._max_timeout_us = (
            int(min_timeout_us * timeout_ratio) if self._needed_confirmations else min_timeout_us
        )

    def confirm(self, reporter: int) -> bool:
        """Add a reporter; return False if it is known already or no more confirmations are needed."""
        if reporter in self.reporters or len(self.reporters) > self._needed_confirmations:
            return False
        self.reporters.add(reporter)
        return True

    @property
    def expires_at(self) -> int:
        """The time at which the member is declared dead, unless it refutes the suspicion before."""
        if not self._needed_confirmations:
            return self._started_at + self._min_timeout_us
        confirmed = math.log(len(self.reporters)) / math.log(self._needed_confirmations + 1)
        range_us = self._max_timeout_us - self._min_timeout_us
        return self._started_at + int(self._max_timeout_us - range_us * confirmed)

    def restart(self, now: int) -> None:
        """Restart the timeout: while the local process stalled, it may have missed the refutation."""
        self._started_at = now


def min_timeout_us(size: int, period_us: int, periods: float) -> int:
    """Return the minimum timeout: `periods` protocol periods times log10 of the size, and no fewer."""
    return int(periods * max(math.log10(max(size, 1)), 1.0) * period_us)
