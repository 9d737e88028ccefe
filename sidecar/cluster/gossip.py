"""News on its way: each claim is told a number of times that grows as the logarithm of the tier."""

from __future__ import annotations

import math

from sidecar.cluster.message import Claim, Room

_SPREAD = 2.0  # times log2 of the tier that a claim is told


class Gossip:
    """The claims that others may not know yet; at most one a member."""

    def __init__(self) -> None:
        self._told: dict[int, tuple[int, Claim]] = {}  # by member: how often it was told

    def __len__(self) -> int:
        return len(self._told)

    def put(self, claim: Claim) -> None:
        """Tell it, in place of what was told of that member before."""
        self._told.pop(claim.member, None)
        self._told[claim.member] = (0, claim)

    def drop(self, size: int) -> None:
        """Forget what is said of members from this number on."""
        for member in [each for each in self._told if each >= size]:
            del self._told[member]

    def fill(self, room: Room, size: int) -> None:
        """Put into a message what fits, what was told least first."""
        if not self._told:
            return
        most = times(size)
        for told, claim in sorted(self._told.values(), key=lambda each: each[0]):
            if not room.add(claim):
                return
            if told + 1 >= most:
                del self._told[claim.member]
            else:
                self._told[claim.member] = (told + 1, claim)


def times(size: int) -> int:
    """How often one claim is told in a tier of this size."""
    return max(math.ceil(_SPREAD * math.log2(size + 1)), 3)
