"""Questions that are out: one of one's own at a time, and those that are asked for others."""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from sidecar.cluster.message import MOST_QUESTION
from sidecar.cluster.table import Table

_ANYBODY_EVERY = 4  # each so many questions go to any member, also one that was called dead
_MOST_RELAYED = 32  # at a time; the oldest gives way


@dataclass(slots=True)
class Question:
    """One of one's own: direct, then through relays."""

    number: int
    target: int
    asked_at: int
    relays_due: int  # when relays are asked, if there is no answer
    due: int  # when it has failed
    relays: list[int] = field(default_factory=list)
    spoke: int = 0  # relays that said that they are here
    is_direct: bool = True

    @property
    def next_at(self) -> int:
        return self.relays_due if self.is_direct else self.due


@dataclass(slots=True)
class Relayed:
    """One that is asked for another member."""

    origin: int
    origin_number: int
    target: int
    due: int  # when the origin is told that the target is silent


class Questions:
    """All that are out."""

    def __init__(self, first: int) -> None:
        self._next = first % (MOST_QUESTION + 1)
        self.own: Question | None = None
        self._relayed: OrderedDict[int, Relayed] = OrderedDict()

    def number(self) -> int:
        """A number that no other question out has."""
        self._next = (self._next + 1) % (MOST_QUESTION + 1)
        return self._next

    def relay(self, relayed: Relayed) -> int:
        """Ask for another; give the number of the question to the target."""
        while len(self._relayed) >= _MOST_RELAYED:
            self._relayed.popitem(last=False)
        number = self.number()
        self._relayed[number] = relayed
        return number

    def answered(self, number: int, sender: int) -> Relayed | None:
        """The target of a relayed question answered."""
        relayed = self._relayed.get(number)
        if relayed is None or relayed.target != sender:
            return None
        return self._relayed.pop(number)

    def silent(self, now: int) -> list[Relayed]:
        """Relayed questions that have waited long enough."""
        over = [number for number, each in self._relayed.items() if each.due <= now]
        return [self._relayed.pop(number) for number in over]

    @property
    def next_at(self) -> int | None:
        """When something here falls due."""
        dues = [each.due for each in self._relayed.values()]
        if self.own is not None:
            dues.append(self.own.next_at)
        return min(dues, default=None)

    def forget(self, size: int | None = None) -> None:
        """Let go of all, or of those that concern members from this number on."""
        least = 0 if size is None else size
        if self.own is not None and self.own.target >= least:
            self.own = None
        gone = [n for n, each in self._relayed.items() if max(each.target, each.origin) >= least]
        for number in gone:
            del self._relayed[number]


class Targets:
    """Whom to ask next: each member in turn, in an order of chance; now and then anybody.

    That one may be a member called dead: a cut that has healed is found so.
    """

    def __init__(self, me: int, table: Table, rng: random.Random) -> None:
        self._me, self._table, self._random = me, table, rng
        self._asked = rng.randrange(_ANYBODY_EVERY)
        self._order: list[int] = []

    def next(self) -> int | None:
        """None if there is nobody else."""
        size = len(self._table)
        self._asked += 1
        if self._asked % _ANYBODY_EVERY == 0 and size > 1:
            other = self._random.randrange(size - 1)
            return other + (other >= self._me)
        for _ in range(2):
            while self._order:
                target = self._order.pop()
                if not self._table[target].has_ended:
                    return target
            self._order = self.others()
            self._random.shuffle(self._order)
        return None

    def others(self) -> list[int]:
        """All others that are not called dead and have not left."""
        return [
            number
            for number, each in enumerate(self._table.members)
            if number != self._me and not each.has_ended
        ]

    def forget(self) -> None:
        """Begin a new order."""
        self._order = []
