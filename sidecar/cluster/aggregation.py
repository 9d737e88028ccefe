"""Aggregation rounds: the members that reported, within one round, whether they have a version in force.

Rounds form a join semilattice: of two rounds, the one with the greater (version, number) is kept; rounds with
the same key are united.  So the result does not depend on the order or the number of deliveries.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from sidecar.cluster.member_set import encode_chunk, member_bit

NO_DIGESTS = 0xFFFF_FFFF, 0  # minimum and maximum digest of a round without reports


@dataclass(frozen=True, slots=True)
class AggregationRound:
    """The members' reports about one version in one round; sets of members are bit sets (`member_set`)."""

    version: int
    number: int
    first_reported_by: int  # the member that reported this version first; the lowest one where reports differ
    started_at: int  # microseconds, by the local clock
    min_digest: int = NO_DIGESTS[0]  # lowest digest of the contents in force under this version
    max_digest: int = NO_DIGESTS[1]  # highest digest
    in_force: int = 0  # members that reported the version in force
    reported_behind: int = 0  # members that reported it not in force; `in_force` takes precedence

    @property
    def key(self) -> tuple[int, int]:
        """The version and the number of the round, by which rounds are ordered."""
        return self.version, self.number

    @property
    def behind(self) -> int:
        """The members that reported the version not in force, and have not reported it in force since."""
        return self.reported_behind & ~self.in_force

    @property
    def is_ambiguous(self) -> bool:
        """Whether members have different contents under this version."""
        return self.min_digest < self.max_digest

    def merged_with(self, other: AggregationRound) -> AggregationRound:
        """Return the join of both rounds."""
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
        """Return the round with a member's report that it has this version in force, with this digest."""
        return replace(
            self,
            in_force=self.in_force | member_bit(member),
            min_digest=min(self.min_digest, digest),
            max_digest=max(self.max_digest, digest),
        )

    def with_behind(self, member: int) -> AggregationRound:
        """Return the round with a member's report that it does not have this version in force."""
        return replace(self, reported_behind=self.reported_behind | member_bit(member))

    def equals_ignoring_start(self, other: AggregationRound) -> bool:
        """Return whether both rounds are equal apart from their start time."""
        return replace(self, started_at=other.started_at) == other

    def chunk(self, number: int) -> tuple[bytes, bytes]:
        """Return one chunk of `in_force` and of `reported_behind`, encoded."""
        return encode_chunk(self.in_force, number), encode_chunk(self.reported_behind, number)
