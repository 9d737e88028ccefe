"""Exploration of every order of events among a few members, to a bounded depth, on the sidecar's own code.

A step delivers, loses or duplicates a datagram, advances one member's clock to its next tick, or kills or
starts a process.  Clocks are independent, so that the orders include pauses and partitions: a member without
ticks is paused, a link that loses every datagram is partitioned.  From the states reached, the network is
healed, and all members have to agree.
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
_LINK_CAPACITY = 2  # waiting datagrams; a further one replaces the oldest, which is lost
_HEAL_TIMEOUT_US = 240_000_000
_SETTINGS = MembershipSettings(relays=1)


class CopyableRandom(random.Random):
    """A random generator whose state is one integer, so that copying a member is cheap."""

    def __init__(self, seed: int) -> None:
        super().__init__(0)
        self._state = seed

    def random(self) -> float:
        """A float in [0, 1), as `random.Random` defines it."""
        return self.getrandbits(53) / (1 << 53)

    def getrandbits(self, k: int) -> int:
        """An integer of k bits from a linear congruential generator, as `random.Random` defines it."""
        self._state = (self._state * 6_364_136_223_846_793_005 + 1_442_695_040_888_963_407) % (1 << 64)
        return self._state >> (64 - k) if k <= 64 else self._state << (k - 64)

    def __deepcopy__(self, memo: object) -> CopyableRandom:
        return CopyableRandom(self._state)


class InvariantError(Exception):
    """An invariant of membership is violated; the text names it."""


@dataclass
class Member:
    """A member: its process, if one runs, its own clock, and the incarnations that it has seen end."""

    membership: Membership | None
    now: int = 0  # its clock, microseconds
    next_tick: int = 0
    ended: set[tuple[int, int]] = field(default_factory=set)  # (member, incarnation)

    def copy(self) -> Member:
        """A copy that shares no mutable state."""
        return Member(copy.deepcopy(self.membership), self.now, self.next_tick, set(self.ended))


class World:
    """The state of an exploration: all members and the datagrams in flight between them."""

    def __init__(self, seed: int) -> None:
        self.links: dict[tuple[int, int], deque[bytes]] = {
            (source, target): deque(maxlen=_LINK_CAPACITY)
            for source in range(MEMBERS)
            for target in range(MEMBERS)
            if source != target
        }
        self.members: list[Member] = []
        self.faults = 0  # kills, leaves and duplicated datagrams so far
        for number in range(MEMBERS):
            self.members.append(Member(None))
            self._start(number, seed * 100 + number)

    def copy(self) -> World:
        """A copy that shares no mutable state."""
        duplicate = World.__new__(World)
        duplicate.links = {link: deque(waiting, _LINK_CAPACITY) for link, waiting in self.links.items()}
        duplicate.members = [member.copy() for member in self.members]
        duplicate.faults = self.faults
        return duplicate

    def _start(self, number: int, seed: int) -> None:
        member = self.members[number]
        unix_s = _UNIX_S + member.now / 1e6
        member.membership = Membership(
            number, MEMBERS, "a", _SETTINGS, CopyableRandom(seed), member.now, unix_s
        )
        self._execute(number, member.membership.start(member.now))

    def _execute(self, number: int, actions: list[MembershipAction]) -> None:
        member = self.members[number]
        for action in actions:
            if isinstance(action, ScheduleTick):
                member.next_tick = action.at
            elif isinstance(action, SendDatagram):
                others = [other for other in range(MEMBERS) if other != number]
                for target in others if action.receiver is None else [action.receiver]:
                    self.links[number, target].append(action.payload)
        self._check(number)

    # Steps

    def steps(self, max_faults: int) -> Iterator[tuple[str, int, int]]:
        """Yield the possible next steps: a kind, and the link or the member that it concerns."""
        for (source, target), waiting in self.links.items():
            if waiting:
                yield "deliver", source, target
                yield "lose", source, target
                if self.faults < max_faults:
                    yield "duplicate", source, target
        for number, member in enumerate(self.members):
            if member.membership is not None:
                yield "tick", number, 0
                if self.faults < max_faults:
                    yield "kill", number, 0
                    yield "leave", number, 0
            else:
                yield "start", number, 0

    def step(self, kind: str, number: int, target: int) -> None:
        """Apply a step to a member or, for datagrams, to the link from it to the target."""
        member = self.members[number]
        if kind in ("deliver", "duplicate", "lose"):
            payload = self.links[number, target].popleft()
            if kind != "lose":
                self._deliver(number, target, payload)
            if kind == "duplicate":
                self.faults += 1
                self._deliver(number, target, payload)
        elif kind == "tick":
            self._tick(number)
        elif kind == "start":
            member.now += 1_000_000
            member.ended = set()
            self._start(number, member.now + number)
        else:
            self.faults += 1
            if kind == "leave" and member.membership is not None:
                self._execute(number, member.membership.leave())
            member.membership = None

    def _deliver(self, source: int, target: int, payload: bytes) -> None:
        receiver = self.members[target]
        if receiver.membership is not None:
            self._execute(target, receiver.membership.datagram_received(receiver.now, source, payload))

    def _tick(self, number: int) -> None:
        member = self.members[number]
        if member.membership is not None:
            member.now = max(member.now, member.next_tick)
            self._execute(number, member.membership.tick(member.now))

    # Invariants

    def _check(self, number: int) -> None:
        """Check that no ended incarnation, its own included, is alive again and the table is complete."""
        member = self.members[number]
        membership = member.membership
        if membership is None:
            return
        if len(membership.table) != MEMBERS:
            raise InvariantError(
                f"the table of member {number} has {len(membership.table)} records, not {MEMBERS}"
            )
        for subject, record in enumerate(membership.table.records):
            incarnation = subject, record.update.incarnation
            if record.state >= MemberState.DEAD:
                member.ended.add(incarnation)
            elif incarnation in member.ended:
                raise InvariantError(
                    f"member {number} sees ended incarnation {incarnation[1]} of member {subject} alive"
                )
        if (number, membership.incarnation) in member.ended and not membership.is_duplicate:
            raise InvariantError(f"member {number} continues with an incarnation that it holds as ended")

    def heal(self) -> int:
        """Deliver all datagrams and run all clocks; return the microseconds until all agree.

        Raises InvariantError if they do not agree within the timeout.
        """
        start = max(member.now for member in self.members)
        for member in self.members:
            member.now = max(member.now, start)  # from here on all clocks are the same
        for number, member in enumerate(self.members):
            if member.membership is None:
                self.step("start", number, 0)
        while True:
            while any(self.links.values()):
                for (source, target), waiting in self.links.items():
                    if waiting:
                        self._deliver(source, target, waiting.popleft())
            if self._agreed():
                return min(member.now for member in self.members) - start
            number = min(range(MEMBERS), key=lambda index: self.members[index].next_tick)
            now = self.members[number].next_tick
            if now - start > _HEAL_TIMEOUT_US:
                raise InvariantError(f"no agreement within {_HEAL_TIMEOUT_US} us after healing")
            for member in self.members:
                member.now = max(member.now, now)
            self._tick(number)

    def _agreed(self) -> bool:
        memberships = {number: member.membership for number, member in enumerate(self.members)}
        return have_converged(
            {number: membership.table for number, membership in memberships.items() if membership is not None}
        )

    def key(self) -> tuple[object, ...]:
        """Return a key that is equal for worlds whose further behaviour is taken to be the same."""
        parts: list[object] = [tuple(tuple(waiting) for waiting in self.links.values()), self.faults]
        for member in self.members:
            membership = member.membership
            if membership is None:
                parts.append(member.now)
                continue
            beliefs = tuple(
                (record.update.incarnation, record.update.status) for record in membership.table.records
            )
            parts.append(
                (member.now, member.next_tick, membership.incarnation, membership.health.score, beliefs)
            )
        return tuple(parts)


@dataclass(frozen=True, slots=True)
class Explored:
    """The extent of an exploration."""

    states: int
    healed: int
    longest_heal_us: int


def explore(depth: int, max_faults: int, seed: int = 1, heal_every: int = 1) -> Explored:
    """Explore every order of steps up to a depth; raise InvariantError with the steps at a violation.

    A world that was reached before is not explored again.  A copy of every `heal_every`-th world is healed.
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
                longest = max(longest, world.copy().heal())
            if len(path) == depth:
                continue
            for step in world.steps(max_faults):
                after = world.copy()
                after.step(*step)
                waiting.append((after, (*path, step)))
        except InvariantError as error:
            raise InvariantError(f"{error} after {path}") from None
    return Explored(states, healed, longest)
