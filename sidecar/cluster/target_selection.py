"""Selects the member to ping next: each in turn, in an order shuffled for each pass (SWIM, section 4.3)."""

from __future__ import annotations

import random

from sidecar.cluster.member_table import MemberTable

# One in this many pings goes to any member, dead ones included, so that a healed partition is detected.
_ANY_MEMBER_EVERY = 4


class TargetSelector:
    """Selects the targets of the local member's pings."""

    def __init__(self, local_number: int, table: MemberTable, rng: random.Random) -> None:
        self._local_number, self._table, self._random = local_number, table, rng
        self._selections = rng.randrange(_ANY_MEMBER_EVERY)
        self._order: list[int] = []

    def next(self) -> int | None:
        """Return the next target; None if all other members are dead or have left."""
        size = len(self._table)
        self._selections += 1
        if self._selections % _ANY_MEMBER_EVERY == 0 and size > 1:
            other = self._random.randrange(size - 1)
            return other + (other >= self._local_number)
        for _ in range(2):
            while self._order:
                target = self._order.pop()
                if not self._table[target].has_ended:
                    return target
            self._order = self.live_members()
            self._random.shuffle(self._order)
        return None

    def live_members(self) -> list[int]:
        """Return all other members that are neither dead nor have left."""
        return [
            number
            for number, record in enumerate(self._table.records)
            if number != self._local_number and not record.has_ended
        ]

    def reset(self) -> None:
        """Discard the current order; the next call of `next` draws a new one."""
        self._order = []
