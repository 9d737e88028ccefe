"""What is believed of each member: one record each, merged in any order to the same result."""

from __future__ import annotations

import struct
from collections import Counter
from hashlib import blake2b

from sidecar.cluster.message import MOST_SKETCHED, Claim, State
from sidecar.cluster.view import Size

_PACKED = struct.Struct("<HIB")  # member, life, state, for the digest alone


class Member:
    """One member as this one believes it to be."""

    __slots__ = ("claim", "heard_at", "rumour", "since")

    def __init__(self, number: int, now: int) -> None:
        self.claim = Claim.of(number, 0, State.PRESENT, 0, number)
        self.since = now  # when its state last changed here
        self.heard_at: int | None = None  # when it last answered a question of one's own
        self.rumour: Claim | None = None  # others say it is dead, against own sight: it must hear of that

    @property
    def state(self) -> State:
        return self.claim.state

    @property
    def is_unknown(self) -> bool:
        """Whether no life of it was ever heard of."""
        return self.claim.life == 0 and self.claim.state is State.PRESENT

    @property
    def has_ended(self) -> bool:
        return self.claim.mark & 3 >= State.DEAD


class Table:
    """All members by number, and one number that is equal where two tables agree."""

    def __init__(self, size: int, now: int) -> None:
        self.members: list[Member] = []
        self.digest = 0
        self._size: Size | None = None  # None: to be counted
        self.resize(size, now)

    def __len__(self) -> int:
        return len(self.members)

    def __getitem__(self, number: int) -> Member:
        return self.members[number]

    def resize(self, size: int, now: int) -> None:
        """Hold so many members: what is beyond is forgotten, what is new was never heard of."""
        self._size = None
        while len(self.members) > size:
            self.digest ^= _weight(self.members.pop().claim)
        while len(self.members) < size:
            self.members.append(Member(len(self.members), now))

    def take(self, claim: Claim, now: int) -> bool:
        """Believe a claim if it is newer than what is believed; say whether it was."""
        member = self.members[claim.member]
        if claim.key <= member.claim.key:
            return False
        if claim.state is not member.state or claim.life != member.claim.life:
            member.since = now
        if member.rumour is not None and claim.key >= member.rumour.key:
            member.rumour = None
        self.digest ^= _weight(member.claim) ^ _weight(claim)
        member.claim = claim
        self._size = None
        return True

    def adopt(self, other: Table) -> None:
        """Believe what another table of this size does."""
        for own, known in zip(self.members, other.members, strict=True):
            own.claim = known.claim
        self.digest, self._size = other.digest, None

    def sketch(self, first: int, salt: int, size: int = MOST_SKETCHED) -> bytes:
        """Half a byte for each of so many members from `first` on: equal where the belief is.

        One in sixteen is equal by chance; the salt, which changes with each question, sees to those later.
        """
        key = salt.to_bytes(2)
        halves = [_weight(each.claim, key) & 15 for each in self.members[first : first + size]]
        if len(halves) % 2:
            halves.append(0)
        return bytes(one << 4 | two for one, two in zip(halves[::2], halves[1::2], strict=True))

    def differing(self, first: int, salt: int, sketch: bytes) -> list[Claim]:
        """What is known here, and by that sketch differs elsewhere."""
        own = self.sketch(first, salt, 2 * len(sketch))
        halves = [half for one, other in zip(own, sketch, strict=False) for half in _halves(one ^ other)]
        told = zip(self.members[first:], halves, strict=False)
        return [member.claim for member, differs in told if differs and not member.is_unknown]

    def size(self) -> Size:
        """How many members are believed to be what; counted anew only where that has changed."""
        if self._size is None:
            marks = Counter(each.claim.mark & 3 for each in self.members)
            unknown = sum(each.is_unknown for each in self.members)
            self._size = Size(
                configured=len(self.members),
                present=marks[State.PRESENT] - unknown,
                suspected=marks[State.SUSPECTED],
                unknown=unknown,
                dead=marks[State.DEAD],
                left=marks[State.LEFT],
            )
        return self._size


def _weight(claim: Claim, key: bytes = b"") -> int:
    """What a claim adds to the digest: rounds and suspicions pass, lives and ends have to agree."""
    state = claim.mark & 3
    if claim.life == 0 and state < State.DEAD:
        return 0
    packed = _PACKED.pack(claim.member, claim.life, state if state >= State.DEAD else 0)
    return int.from_bytes(blake2b(packed, digest_size=4, key=key).digest())


def _halves(byte: int) -> tuple[int, int]:
    return byte >> 4, byte & 15
