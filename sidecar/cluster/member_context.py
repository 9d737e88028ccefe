"""State that the parts of `Membership` share."""

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

_DATAGRAMS_PER_PERIOD = 2.2  # on average at rest: a ping, an acknowledgement, and a share of relayed pings


@dataclass(slots=True)
class MemberContext:
    """The identity, settings, member table, health and outgoing messages of the local member."""

    local: LocalMember
    settings: MembershipSettings
    table: MemberTable
    health: LocalHealth
    limiter: RateLimiter
    outbox: Outbox
    random: random.Random

    def period_us(self, now: int) -> int:
        """Return the protocol period: as the rate limit allows, times the local health multiplier.

        It is never shorter than the configured minimum.
        """
        allowed_us = int(_DATAGRAMS_PER_PERIOD / self.limiter.rate_per_s(now) * 1e6)
        return max(allowed_us, self.settings.min_period_ms * 1_000) * self.health.multiplier

    def min_suspicion_timeout_us(self, now: int) -> int:
        """Return the minimum time in microseconds from a suspicion until the member is declared dead."""
        return min_timeout_us(len(self.table), self.period_us(now), self.settings.suspicion_periods)
