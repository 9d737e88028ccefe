"""What one member knows about the newest configuration version; shared by the parts of `Rollout`."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from sidecar.cluster.aggregation import AggregationRound
from sidecar.cluster.member_set import chunk_count
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.settings import RolloutSettings

NO_VERSION = -1
# Exchanges that a round takes until all members are in it: push-pull doubles the members reached ...
_EXCHANGES_PER_DOUBLING = 2.0
_MORE_EXCHANGES = 6.0  # ... and the last few take longer


@dataclass(slots=True)
class RolloutState:
    """All times are microseconds."""

    number: int  # the local member
    table: MemberTable  # membership's, read only
    settings: RolloutSettings
    random: random.Random
    version: int  # in force here
    digest: int
    newest_received_at: int
    newest_received_from: int
    round: AggregationRound  # the latest, about the newest version that was heard of
    previous_round: AggregationRound | None = None  # about the same version, and complete
    reported_in_force: int = NO_VERSION  # the version last reported to be in force everywhere, ...
    reported_late: int = NO_VERSION  # ... or not to be in time

    @property
    def has_newest(self) -> bool:
        """Whether the newest version that was heard of is in force here."""
        return self.version == self.round.version

    @property
    def exchange_period_us(self) -> int:
        """The time between two exchanges in microseconds."""
        return int(1e6 / self.settings.datagrams_per_s)

    @property
    def chunk_count(self) -> int:
        """The number of chunks into which the members are divided."""
        return chunk_count(len(self.table))

    @property
    def round_completion_us(self) -> int:
        """How long a round takes at rest until what every member says is known to all."""
        exchanges = _EXCHANGES_PER_DOUBLING * math.log2(len(self.table) + 1) + _MORE_EXCHANGES
        return int(exchanges * self.chunk_count * self.exchange_period_us)

    @property
    def round_interval_us(self) -> int:
        """From the start of a round to that of the next: as set, longer where it could not fill."""
        return max(int(self.settings.round_interval_s * 1e6), 2 * self.round_completion_us)

    def jittered(self, interval_us: int) -> int:
        """The interval in microseconds times a random factor from 0.8 to 1.2."""
        return int(interval_us * (0.8 + 0.4 * self.random.random()))
