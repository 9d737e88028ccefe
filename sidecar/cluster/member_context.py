"""What the parts of one member share: its identity, its table, its health and what it may send."""

from __future__ import annotations

import random
from dataclasses import dataclass

from sidecar.cluster.local_health import LocalHealth
from sidecar.cluster.local_member import LocalMember
from sidecar.cluster.member_table import MemberTable
from sidecar.cluster.outbox import Outbox
from sidecar.cluster.rate_limiter import RateLimiter
from sidecar.cluster.settings import MembershipSettings
from sidecar.cluster.suspicion import min_timeout_us

_DATAGRAMS_PER_PERIOD = 2.2  # at rest: a ping, an acknowledgement, and a few on behalf of others


@dataclass(slots=True)
class MemberContext:
    """The state of one member that more than one part of it works on."""

    local: LocalMember
    settings: MembershipSettings
    table: MemberTable
    health: LocalHealth
    limiter: RateLimiter
    outbox: Outbox
    random: random.Random

    def period_us(self, now: int) -> int:
        """The protocol period: as the rate of datagrams allows, longer where the local health is degraded."""
        allowed_us = int(_DATAGRAMS_PER_PERIOD / self.limiter.rate_per_s(now) * 1e6)
        return max(allowed_us, self.settings.min_period_ms * 1_000) * self.health.multiplier

    def min_suspicion_timeout_us(self, now: int) -> int:
        """The shortest time in microseconds from a suspicion to the death of a member."""
        return min_timeout_us(len(self.table), self.period_us(now), self.settings.suspicion_periods)
