"""Lifeguard's local health multiplier: a member that was paused or cut off distrusts itself before others."""

from __future__ import annotations

_MAX_SCORE = 7


class LocalHealth:
    """A score, of which 0 is healthy, by which the local member's own time-outs are multiplied."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor by which timeouts and periods are extended."""
        return self.score + 1

    @property
    def is_worst(self) -> bool:
        """Whether the score has reached its maximum."""
        return self.score == _MAX_SCORE

    def ping_acknowledged(self) -> None:
        """A ping was acknowledged in time."""
        self.score //= 2

    def degrade(self, amount: int = 1) -> None:
        """A ping failed and relays did not speak either, or the local member was suspected."""
        self.score = min(self.score + amount, _MAX_SCORE)

    def process_stalled(self) -> None:
        """The process stood still: what it missed meanwhile says nothing about others."""
        self.score = _MAX_SCORE
