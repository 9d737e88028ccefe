"""State that the parts of `Rollout` share: what one member knows about the newest configuration version."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from sidecar.cluster.aggregation import AggregationRound
from sidecar.cluster.member_set import chunk_count
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.settings import RolloutSettings

NO_VERSION = -1
# Exchanges of each member until a round has the reports of all: some for each doubling of the number of
# members reached by push-pull, and further ones for the last few members.
_EXCHANGES_PER_DOUBLING = 2.0
_FURTHER_EXCHANGES = 6.0


@dataclass(slots=True)
class RolloutState:
    """The versions, round and reports of one member.  All times are microseconds."""

    number: int  # the local member
    table: MemberTable  # belongs to membership; only read here
    settings: RolloutSettings
    random: random.Random
    version: int  # in force here
    digest: int  # of the contents in force here
    newest_received_at: int
    newest_received_from: int
    round: AggregationRound  # the latest one, about the newest known version
    previous_round: AggregationRound | None = None  # about the same version; it had time to complete
    reported_in_force: int = NO_VERSION  # the version last reported in force everywhere
    reported_late: int = NO_VERSION  # the version last reported late

    @property
    def has_newest_in_force(self) -> bool:
        """Whether the newest known version is in force here."""
        return self.version == self.round.version

    @property
    def exchange_period_us(self) -> int:
        """The mean time between two exchanges while rounds change."""
        return int(1e6 / self.settings.datagrams_per_s)

    @property
    def chunk_count(self) -> int:
        """The number of chunks into which the members are divided."""
        return chunk_count(len(self.table))

    @property
    def round_completion_us(self) -> int:
        """The time in which a round reaches all members with the reports of all, at the exchange period."""
        exchanges = _EXCHANGES_PER_DOUBLING * math.log2(len(self.table) + 1) + _FURTHER_EXCHANGES
        return int(exchanges * self.chunk_count * self.exchange_period_us)

    @property
    def round_interval_us(self) -> int:
        """The time between two round starts: as configured, but at least twice the completion time."""
        return max(int(self.settings.round_interval_s * 1e6), 2 * self.round_completion_us)

    def jittered(self, interval_us: int) -> int:
        """Return the interval times a random factor from 0.8 to 1.2."""
        return int(interval_us * (0.8 + 0.4 * self.random.random()))
