"""Lifeguard's local health multiplier.

A member that was paused or cut off extends its own timeouts before it suspects other members.
"""

from __future__ import annotations

_MAX_SCORE = 7


class LocalHealth:
    """The health score of the local member: 0 is healthy, and each point adds one to the multiplier."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor on the local member's protocol period and timeouts."""
        return self.score + 1

    @property
    def is_worst(self) -> bool:
        """Whether the score has reached its maximum."""
        return self.score == _MAX_SCORE

    def ping_acknowledged(self) -> None:
        """Improve the score after a ping that was acknowledged in time."""
        self.score //= 2

    def degrade(self, amount: int = 1) -> None:
        """Worsen the score: a ping failed without nacks from its relays, or others suspected this member."""
        self.score = min(self.score + amount, _MAX_SCORE)

    def process_stalled(self) -> None:
        """Set the worst score: what a stalled process missed is no evidence against other members."""
        self.score = _MAX_SCORE
