"""A suspicion: a member that did not answer is not dead before it had time to speak for itself.

The time-out starts long and shrinks as others, each by its own sight, suspect it too (Lifeguard's rule).
"""

from __future__ import annotations

import math

_ENOUGH = 3  # accusers besides the first, from which on the time-out is the least


class Suspicion:
    """One member under suspicion."""

    __slots__ = ("accusers", "began", "enough", "least_us", "most_us")

    def __init__(self, now: int, accuser: int, least_us: int, stretch: float, size: int) -> None:
        self.began = now
        self.accusers = {accuser}
        self.least_us = least_us
        self.enough = max(min(_ENOUGH, size - 3), 0)  # others there are besides it, the first and oneself
        self.most_us = int(least_us * stretch) if self.enough else least_us

    def confirm(self, accuser: int) -> bool:
        """Another accuser; no if it is known or nobody needs to know it any more."""
        if accuser in self.accusers or len(self.accusers) > self.enough:
            return False
        self.accusers.add(accuser)
        return True

    @property
    def due(self) -> int:
        """When it is called dead, if nothing is heard of it until then."""
        if not self.enough:
            return self.began + self.least_us
        share = math.log(len(self.accusers)) / math.log(self.enough + 1)
        return self.began + int(self.most_us - (self.most_us - self.least_us) * share)

    def begin_again(self, now: int) -> None:
        """One's own clock or network stood still: what was counted meanwhile says nothing."""
        self.began = now


def least_us(size: int, period_us: int, periods: float) -> int:
    """The least time-out of a suspicion: so many periods, times the decimal digits of the tier's size."""
    return int(periods * max(math.log10(max(size, 1)), 1.0) * period_us)
