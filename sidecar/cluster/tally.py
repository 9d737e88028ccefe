"""The tally of one wave: which members say that they have a version of the configuration in force.

Tallies form a semilattice: the greater (version, wave) is taken whole, of equal ones everything is united.
So any order and any number of tellings give the same tally.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

NO_DIGEST = 0xFFFF_FFFF, 0  # least and greatest of none
PIECE = 800  # members in one datagram: 100 bytes for each of the two sets
_PIECE_MASK = (1 << PIECE) - 1


def bit(member: int) -> int:
    return 1 << member


def members(bits: int, most: int) -> list[int]:
    """The first so many members of a set."""
    out: list[int] = []
    while bits and len(out) < most:
        least = bits & -bits
        out.append(least.bit_length() - 1)
        bits ^= least
    return out


@dataclass(frozen=True, slots=True)
class Tally:
    """What members say of one version within one wave; sets of members are bits of a whole number."""

    version: int
    wave: int
    by: int  # who had this version first, as far as it is known; the least where that is told differently
    began: int  # when the wave was begun, by this copy's clock
    low: int = NO_DIGEST[0]  # least and greatest digest of the contents that go by this version
    high: int = NO_DIGEST[1]
    has: int = 0  # members that say they have it in force
    said_behind: int = 0  # members that said they have not; who says later that it has goes before

    @property
    def key(self) -> tuple[int, int]:
        return self.version, self.wave

    @property
    def behind(self) -> int:
        return self.said_behind & ~self.has

    @property
    def is_ambiguous(self) -> bool:
        """Whether two files of other contents go by this version."""
        return self.low < self.high

    def merged(self, other: Tally) -> Tally:
        """Both together."""
        if self.key != other.key:
            return self if self.key > other.key else other
        return Tally(
            self.version,
            self.wave,
            min(self.by, other.by),
            min(self.began, other.began),
            min(self.low, other.low),
            max(self.high, other.high),
            self.has | other.has,
            self.said_behind | other.said_behind,
        )

    def marked(self, member: int, digest: int) -> Tally:
        """With a member's own word that it has this version in force, with contents of this digest."""
        low, high = min(self.low, digest), max(self.high, digest)
        return replace(self, has=self.has | bit(member), low=low, high=high)

    def marked_behind(self, member: int) -> Tally:
        """With a member's own word that it has not."""
        return replace(self, said_behind=self.said_behind | bit(member))

    def is_same(self, other: Tally) -> bool:
        """Whether both say the same; how long ago the wave began apart."""
        return replace(self, began=other.began) == other

    def piece(self, number: int) -> tuple[bytes, bytes]:
        """One piece of both sets as bytes, the first member lowest, without zeros at the end."""
        return _packed(self.has, number), _packed(self.said_behind, number)


def unpacked(data: bytes, piece: int) -> int:
    """The members of one piece of a set."""
    return int.from_bytes(data, "little") << (PIECE * piece)


def _packed(bits: int, piece: int) -> bytes:
    own = (bits >> (PIECE * piece)) & _PIECE_MASK
    return own.to_bytes((own.bit_length() + 7) // 8, "little")
