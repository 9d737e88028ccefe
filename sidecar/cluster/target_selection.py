"""Which member to ping next: each in turn, in an order shuffled anew for each round (SWIM, section 4.3)."""

from __future__ import annotations

import random

from sidecar.cluster.member_table import MemberTable

_ANY_MEMBER_EVERY = 4  # of so many pings one goes to any member, also a dead one: it finds a healed partition


class TargetSelector:
    """Chooses the targets of pings."""

    def __init__(self, own_number: int, table: MemberTable, rng: random.Random) -> None:
        self._own_number, self._table, self._random = own_number, table, rng
        self._selections = rng.randrange(_ANY_MEMBER_EVERY)
        self._order: list[int] = []

    def next(self) -> int | None:
        """The next target; None if there is no other member."""
        size = len(self._table)
        self._selections += 1
        if self._selections % _ANY_MEMBER_EVERY == 0 and size > 1:
            other = self._random.randrange(size - 1)
            return other + (other >= self._own_number)
        for _ in range(2):
            while self._order:
                target = self._order.pop()
                if not self._table[target].has_ended:
                    return target
            self._order = self.live_members()
            self._random.shuffle(self._order)
        return None

    def live_members(self) -> list[int]:
        """All other members that are neither dead nor have left."""
        return [
            number
            for number, record in enumerate(self._table.records)
            if number != self._own_number and not record.has_ended
        ]

    def reset(self) -> None:
        """Begin a new order."""
        self._order = []
