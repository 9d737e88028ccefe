"""How many members of the cluster are in which state."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClusterSize:
    """Numbers of members by state, the local member included, as believed by the local member."""

    configured: int
    present: int
    suspected: int
    unknown: int  # never heard of; counted as possibly present until they are declared dead
    dead: int
    left: int

    @property
    def at_least(self) -> int:
        """How many members are present for certain."""
        return self.present

    @property
    def at_most(self) -> int:
        """How many members may be present."""
        return self.present + self.suspected + self.unknown

    @property
    def is_in_minority(self) -> bool:
        """Whether the local member sees no more than half of the members that did not leave as planned."""
        lost = self.suspected + self.dead
        return lost > 0 and 2 * (self.present + self.unknown) <= self.configured - self.left
