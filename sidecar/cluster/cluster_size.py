"""The number of members of the cluster in each state."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClusterSize:
    """The number of members in each state as believed by the local member, which is included."""

    configured: int
    present: int
    suspected: int
    unknown: int  # no incarnation known; counted as possibly present until they are declared dead
    dead: int
    left: int

    @property
    def at_least(self) -> int:
        """The number of members that are certainly present."""
        return self.present

    @property
    def at_most(self) -> int:
        """The number of members that may be present."""
        return self.present + self.suspected + self.unknown

    @property
    def is_in_minority(self) -> bool:
        """Whether at most half of the members that did not leave as planned are reachable."""
        lost = self.suspected + self.dead
        return lost > 0 and 2 * (self.present + self.unknown) <= self.configured - self.left
