"""How far this copy may trust its own sight: who was paused, starved or cut off must suspect itself first."""

from __future__ import annotations

_WORST = 7


class Health:
    """0 is well; every time-out of one's own is stretched by what it is beyond that."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def stretch(self) -> int:
        return self.score + 1

    @property
    def is_worst(self) -> bool:
        return self.score == _WORST

    def well(self) -> None:
        """A question was answered in time."""
        self.score //= 2

    def doubt(self, amount: int = 1) -> None:
        """A question was not answered, and not even the relays spoke; or oneself was suspected."""
        self.score = min(self.score + amount, _WORST)

    def slept(self) -> None:
        """A tick came late by far: nothing of what was missed meanwhile says anything of others."""
        self.score = _WORST
