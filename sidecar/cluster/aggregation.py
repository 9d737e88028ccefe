"""Aggregation rounds: which members say, within one round, that they have a version in force.

Rounds form a join semilattice: of two, the greater (version, number) is kept; equal ones are united.  So any
order and any number of deliveries give the same round.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from sidecar.cluster.member_set import encode_chunk, member_bit

NO_DIGESTS = 0xFFFF_FFFF, 0  # least and greatest digest of an empty round


@dataclass(frozen=True, slots=True)
class AggregationRound:
    """What members say about one version within one round; see `member_set` for the sets of members."""

    version: int
    number: int
    first_reported_by: int  # who had this version first; the least member where reports differ
    started_at: int  # microseconds, by the local clock
    min_digest: int = NO_DIGESTS[0]  # of the contents that members have under this version
    max_digest: int = NO_DIGESTS[1]
    in_force: int = 0  # members that say that they have the version in force
    reported_behind: int = 0  # members that said that they have not; `in_force` takes precedence

    @property
    def key(self) -> tuple[int, int]:
        """The version and the number of the round, by which rounds are ordered."""
        return self.version, self.number

    @property
    def behind(self) -> int:
        """Bit set of the members that reported an earlier version and none in force since."""
        return self.reported_behind & ~self.in_force

    @property
    def is_ambiguous(self) -> bool:
        """Whether members have different contents under this version."""
        return self.min_digest < self.max_digest

    def merged_with(self, other: AggregationRound) -> AggregationRound:
        """The join of both."""
        if self.key != other.key:
            return self if self.key > other.key else other
        return AggregationRound(
            self.version,
            self.number,
            min(self.first_reported_by, other.first_reported_by),
            min(self.started_at, other.started_at),
            min(self.min_digest, other.min_digest),
            max(self.max_digest, other.max_digest),
            self.in_force | other.in_force,
            self.reported_behind | other.reported_behind,
        )

    def with_in_force(self, member: int, digest: int) -> AggregationRound:
        """With a member's own word that it has this version in force, with contents of this digest."""
        return replace(
            self,
            in_force=self.in_force | member_bit(member),
            min_digest=min(self.min_digest, digest),
            max_digest=max(self.max_digest, digest),
        )

    def with_behind(self, member: int) -> AggregationRound:
        """With a member's own word that it has not this version in force."""
        return replace(self, reported_behind=self.reported_behind | member_bit(member))

    def says_same_as(self, other: AggregationRound) -> bool:
        """Whether both say the same, apart from when the round started."""
        return replace(self, started_at=other.started_at) == other

    def chunk(self, number: int) -> tuple[bytes, bytes]:
        """One chunk of both sets."""
        return encode_chunk(self.in_force, number), encode_chunk(self.reported_behind, number)
