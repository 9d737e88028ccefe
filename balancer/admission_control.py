"""Admission control: which requests are rejected on arrival while the fleet is overloaded, and for how long.

Guards against collapse: a fleet that answers all requests too late serves nobody, and clients repeat what
fails late.  As the concurrency window fills, requests are admitted with a probability that falls
exponentially, sooner for those that matter less.
"""

from __future__ import annotations

import math

from balancer.concurrency_window import ConcurrencyWindow
from balancer.context import DecisionContext
from balancer.moving_average import DecayingRate
from balancer.settings import ServiceClass

# Exponent at a full window: of the requests of middle rank one in fifty is admitted.
PRESSURE_EXPONENT = 4.0
# The lowest rank meets this many times the pressure, the highest almost none.
RANK_EXPONENT = 2.0
# Demand by class and tenant is averaged over this many of the longest latency objective.
DEMAND_OBJECTIVES = 4.0
# Retry-After is about this part of the latency objective.
RETRY_AFTER_OBJECTIVES = 0.6


class Demand:
    """The request rate of one tenant in one service class."""

    __slots__ = ("rate", "service_class", "tenant")

    def __init__(self, service_class: ServiceClass, tenant: str | None, window_us: float) -> None:
        self.service_class = service_class
        self.tenant = tenant
        self.rate = DecayingRate(window_us)


class AdmissionController:
    """Admits or rejects requests by the pressure on the window and their rank among the current demand."""

    def __init__(self, context: DecisionContext, window: ConcurrencyWindow) -> None:
        self._context = context
        self._window = window
        settings = context.settings
        self._tenants = {tenant.name: tenant for tenant in settings.tenants}
        self._total_quota_share = sum(tenant.quota_share for tenant in settings.tenants) or 1.0
        self._demands: dict[tuple[str, str | None], Demand] = {}

    def admits(self, service_class: ServiceClass, tenant: str | None) -> bool:
        """Whether a new request may go to a server; counts its demand either way."""
        demand = self._demands.get((service_class.name, tenant))
        if demand is None:
            window_us = DEMAND_OBJECTIVES * self._context.longest_objective_us
            demand = Demand(service_class, tenant, window_us)
            self._demands[(service_class.name, tenant)] = demand
        demand.rate.add(self._context.now, 1.0)
        pressure = self._window.pressure()
        if pressure <= 0.0:
            return True
        if pressure < 1.0:  # at a full window nobody is admitted, whatever the rank
            exponent = RANK_EXPONENT * (PRESSURE_EXPONENT * pressure) * (1.0 - self._rank(demand))
            if self._context.random_stream.random() < math.exp(-exponent):
                return True
        self._window.record_rejection()
        return False

    def retry_after_us(self, service_class: ServiceClass) -> int:
        """How long a rejected client should wait before it retries; 0: nothing to say.

        Jittered, so that clients rejected together do not come back together.
        """
        limits = self._context.settings.limits
        if not limits.retry_after:
            return 0
        objectives = RETRY_AFTER_OBJECTIVES * (0.5 + self._context.random_stream.random())
        return min(int(objectives * service_class.latency_objective_us), limits.max_retry_after_us)

    def _rank(self, demand: Demand) -> float:
        """The fraction of the demand with less weight than this one, counting half of what weighs the same.

        Sidecars see different parts of the traffic, so only the tenants' proportions are compared.
        """
        now = self._context.now
        demands = list(self._demands.values())
        rates = [other.rate.per_us(now) for other in demands]
        total_rate = sum(rates)
        tenant_rates: dict[str | None, float] = {}
        for other, rate in zip(demands, rates, strict=True):
            tenant_rates[other.tenant] = tenant_rates.get(other.tenant, 0.0) + rate
        weights = [self._weight(other, tenant_rates[other.tenant], total_rate) for other in demands]
        weight = weights[demands.index(demand)]
        below = sum(rate for rate, other in zip(rates, weights, strict=True) if other < weight)
        equal = sum(rate for rate, other in zip(rates, weights, strict=True) if other == weight)
        return (below + 0.5 * equal) / total_rate if total_rate > 0.0 else 0.5

    def _weight(self, demand: Demand, tenant_rate: float, total_rate: float) -> float:
        """The priority weight of the class, reduced for what the tenant demands beyond its quota."""
        weight = demand.service_class.priority_weight
        tenant = self._tenants.get(demand.tenant or "")
        if tenant is None or tenant_rate <= 0.0:
            return weight
        quota = total_rate * tenant.quota_share / self._total_quota_share
        within_quota = min(1.0, quota / tenant_rate)
        over_quota_weight = self._context.settings.over_quota_weight
        return weight * (within_quota + (1.0 - within_quota) * over_quota_weight)
