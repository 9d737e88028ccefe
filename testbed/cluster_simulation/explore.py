"""Every order of events among a few members, to a bounded depth, on the lines that the sidecar runs.

A step delivers, loses or duplicates a datagram, lets one member's clock go on to its next tick, or kills a
process or starts one anew.  Clocks are independent, so pauses and cuts are among the orders: a member that
does not tick is paused, a link that loses everything is cut.  From what is reached the network heals, and
all have to agree.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from sidecar.cluster.actions import MembershipAction, ScheduleTick, SendDatagram
from sidecar.cluster.membership import Membership
from sidecar.cluster.message import MemberState
from sidecar.cluster.settings import MembershipSettings
from testbed.cluster_simulation.virtual import have_converged

MEMBERS = 3
_UNIX_S = 1_780_000_000.0
_MOST_ON_A_LINK = 2  # datagrams that wait; a further one pushes out the oldest, which is lost
_HEALS_WITHIN_US = 240_000_000
_SETTINGS = MembershipSettings(relays=1)


class Chance(random.Random):
    """Random numbers from a state of one number, so that a member is copied quickly."""

    def __init__(self, seed: int) -> None:
        super().__init__(0)
        self._at = seed

    def random(self) -> float:
        """A float in [0, 1), as `random.Random` defines it."""
        return self.getrandbits(53) / (1 << 53)

    def getrandbits(self, k: int) -> int:
        """An integer of k bits from a linear congruential generator, as `random.Random` defines it."""
        self._at = (self._at * 6_364_136_223_846_793_005 + 1_442_695_040_888_963_407) % (1 << 64)
        return self._at >> (64 - k) if k <= 64 else self._at << (k - 64)

    def __deepcopy__(self, memo: object) -> Chance:
        return Chance(self._at)


class InvariantError(Exception):
    """A property does not hold; the text names it."""


@dataclass
class Member:
    """One member: its process if it has one, its own clock, and what it has believed to be over."""

    membership: Membership | None
    now: int = 0
    wake: int = 0
    ended: set[tuple[int, int]] = field(default_factory=set)  # (member, incarnation)

    def copied(self) -> Member:
        """A copy that shares no mutable state."""
        return Member(copy.deepcopy(self.membership), self.now, self.wake, set(self.ended))


class World:
    """All members and the datagrams between them."""

    def __init__(self, seed: int) -> None:
        self.links: dict[tuple[int, int], deque[bytes]] = {
            (one, other): deque(maxlen=_MOST_ON_A_LINK)
            for one in range(MEMBERS)
            for other in range(MEMBERS)
            if one != other
        }
        self.members: list[Member] = []
        self.faults = 0
        for number in range(MEMBERS):
            self.members.append(Member(None))
            self._begin(number, seed * 100 + number)

    def copied(self) -> World:
        """A copy that shares no mutable state."""
        out = World.__new__(World)
        out.links = {link: deque(waiting, _MOST_ON_A_LINK) for link, waiting in self.links.items()}
        out.members = [each.copied() for each in self.members]
        out.faults = self.faults
        return out

    def _begin(self, number: int, seed: int) -> None:
        own = self.members[number]
        unix_s = _UNIX_S + own.now / 1e6
        own.membership = Membership(number, MEMBERS, "a", _SETTINGS, Chance(seed), own.now, unix_s)
        self._carry_out(number, own.membership.start(own.now))

    def _carry_out(self, number: int, actions: list[MembershipAction]) -> None:
        own = self.members[number]
        for action in actions:
            if isinstance(action, ScheduleTick):
                own.wake = action.at
            elif isinstance(action, SendDatagram):
                everybody = [each for each in range(MEMBERS) if each != number]
                for target in everybody if action.receiver is None else [action.receiver]:
                    self.links[number, target].append(action.payload)
        self._check(number)

    # Steps

    def steps(self, most_faults: int) -> Iterator[tuple[str, int, int]]:
        """What may happen next."""
        for (one, other), waiting in self.links.items():
            if waiting:
                yield "deliver", one, other
                yield "lose", one, other
                if self.faults < most_faults:
                    yield "duplicate", one, other
        for number, own in enumerate(self.members):
            if own.membership is not None:
                yield "tick", number, 0
                if self.faults < most_faults:
                    yield "kill", number, 0
                    yield "leave", number, 0
            else:
                yield "start", number, 0

    def step(self, what: str, one: int, other: int) -> None:
        """Apply one step, named by its kind, to a member and, for datagrams, the link to another."""
        own = self.members[one]
        if what in ("deliver", "duplicate", "lose"):
            payload = self.links[one, other].popleft()
            if what != "lose":
                self._deliver(one, other, payload)
            if what == "duplicate":
                self.faults += 1
                self._deliver(one, other, payload)
        elif what == "tick":
            self._tick(one)
        elif what == "start":
            own.now += 1_000_000
            own.ended = set()
            self._begin(one, own.now + one)
        else:
            self.faults += 1
            if what == "leave" and own.membership is not None:
                self._carry_out(one, own.membership.leave())
            own.membership = None

    def _deliver(self, source: int, target: int, payload: bytes) -> None:
        receiver = self.members[target]
        if receiver.membership is not None:
            self._carry_out(target, receiver.membership.datagram_received(receiver.now, source, payload))

    def _tick(self, number: int) -> None:
        own = self.members[number]
        if own.membership is not None:
            own.now = max(own.now, own.wake)
            self._carry_out(number, own.membership.tick(own.now))

    # What has to hold

    def _check(self, number: int) -> None:
        """An incarnation that ended does not come back, not even one's own; the table has every member."""
        own = self.members[number]
        membership = own.membership
        if membership is None:
            return
        if len(membership.table) != MEMBERS:
            raise InvariantError(f"the table of {number} holds {len(membership.table)}")
        for of, member in enumerate(membership.table.records):
            incarnation = of, member.update.incarnation
            if member.state >= MemberState.DEAD:
                own.ended.add(incarnation)
            elif incarnation in own.ended:
                raise InvariantError(f"to {number}, incarnation {incarnation[1]} of {of} came back")
        if (number, membership.incarnation) in own.ended and not membership.is_duplicate:
            raise InvariantError(f"{number} goes on with an incarnation that it knows to be over")

    def heal(self) -> int:
        """Let every datagram through and clock run; give the time till all agree, or raise InvariantError."""
        start = max(each.now for each in self.members)
        for own in self.members:
            own.now = max(own.now, start)  # from here on one clock for all
        for number, own in enumerate(self.members):
            if own.membership is None:
                self.step("start", number, 0)
        while True:
            while any(self.links.values()):
                for (one, other), waiting in self.links.items():
                    if waiting:
                        self._deliver(one, other, waiting.popleft())
            if self._agreed():
                return min(each.now for each in self.members) - start
            number = min(range(MEMBERS), key=lambda each: self.members[each].wake)
            now = self.members[number].wake
            if now - start > _HEALS_WITHIN_US:
                raise InvariantError("no agreement after healing")
            for own in self.members:
                own.now = max(own.now, now)
            self._tick(number)

    def _agreed(self) -> bool:
        found = {number: each.membership for number, each in enumerate(self.members)}
        return have_converged({number: each.table for number, each in found.items() if each is not None})

    def key(self) -> tuple[object, ...]:
        """Two worlds with the same key go on alike, as far as it matters."""
        out: list[object] = [tuple(tuple(waiting) for waiting in self.links.values()), self.faults]
        for own in self.members:
            membership = own.membership
            if membership is None:
                out.append(own.now)
                continue
            beliefs = tuple(
                (each.update.incarnation, each.update.status) for each in membership.table.records
            )
            out.append((own.now, own.wake, membership.incarnation, membership.health.score, beliefs))
        return tuple(out)


@dataclass(frozen=True, slots=True)
class Explored:
    """What an exploration went through."""

    states: int
    healed: int
    longest_heal_us: int


def explore(depth: int, most_faults: int, seed: int = 1, heal_every: int = 1) -> Explored:
    """Go through every order of steps up to a depth; raise InvariantError, with the steps, where one fails.

    Worlds that were reached before are not gone through again.  Every `heal_every`-th world is healed.
    """
    seen: set[tuple[object, ...]] = set()
    states = healed = longest = 0
    waiting: list[tuple[World, tuple[tuple[str, int, int], ...]]] = [(World(seed), ())]
    while waiting:
        world, path = waiting.pop()
        key = world.key()
        if key in seen:
            continue
        seen.add(key)
        states += 1
        try:
            if states % heal_every == 0:
                healed += 1
                longest = max(longest, world.copied().heal())
            if len(path) == depth:
                continue
            for step in world.steps(most_faults):
                after = world.copied()
                after.step(*step)
                waiting.append((after, (*path, step)))
        except InvariantError as broken:
            raise InvariantError(f"{broken} after {path}") from None
    return Explored(states, healed, longest)
